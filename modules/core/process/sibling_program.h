#pragma once

#include <string>
#include <vector>

#include "core/errors/error.h"

namespace dotterellug {

// Replaces this process by the program `name` in the folder of the running one.
// Process id, signal mask and open files stay. Returns only on failure.
auto ReplaceBySibling(const std::string& name,
                      const std::vector<std::string>& arguments) -> Error;

}  // namespace dotterellug
