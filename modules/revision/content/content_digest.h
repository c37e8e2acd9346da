#pragma once

#include <string>

#include "core/errors/error.h"
#include "revision/model/revision.h"

namespace dotterellug {

// BLAKE2b-256 of `text`, by which content is named and verified.
auto DigestOf(const std::string& text) -> ContentDigest;

// Name of the immutable object that holds one chunk of section text.
auto ChunkObjectName(const std::string& text) -> std::string;

// Name of the immutable object that holds an encoded revision.
auto RevisionObjectName(RevisionNumber number, const std::string& text)
    -> std::string;

// Whether `text` is the content that the object name `name` stands for. Any
// source of the object, also a peer, can be used after this check. Fails with
// kProtocol.
auto CheckContent(const std::string& name, const std::string& text)
    -> Result<void>;

}  // namespace dotterellug
