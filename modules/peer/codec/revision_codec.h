#pragma once

#include <string>

#include "peer/codec/json_archive.h"

namespace dotterellug {

// Method of ObjectPull; its result is a PulledObject.
inline constexpr const char* kPullObjectMethod = "revision.pull_object";

// Asks a daemon for an immutable object of the configuration (a revision or a
// chunk of a section) by its name.
struct ObjectPull {
  std::string name;
};

// The receiver checks the digest in the name against the text. The text must
// be UTF-8, as all values in the object API.
struct PulledObject {
  std::string name;
  std::string text;
};

template <typename Archive>
auto Describe(Archive& archive,
              typename Archive::template Access<ObjectPull>& message) -> void {
  auto& [name] = message;
  archive("name", name);
}

template <typename Archive>
auto Describe(Archive& archive,
              typename Archive::template Access<PulledObject>& message)
    -> void {
  auto& [name, text] = message;
  archive("name", name);
  archive("text", text);
}

}  // namespace dotterellug
