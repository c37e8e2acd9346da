#pragma once

#include <optional>
#include <string>

#include "core/errors/error.h"

namespace dotterellug {

// The caller's key in a file; empty when there is no file. Fails when the file
// holds no key.
auto ReadKeyFile(const std::string& path) -> Result<std::optional<std::string>>;

// Writes a new file that only its owner can read, and waits until it is on
// disk: once the key's entry is committed, the file is the only place of the
// secret. Fails when the file exists.
auto WriteKeyFile(const std::string& path, const std::string& text)
    -> Result<void>;

}  // namespace dotterellug
