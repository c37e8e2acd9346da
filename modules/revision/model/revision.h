#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/errors/error.h"
#include "core/ids/ids.h"
#include "core/time/time.h"

namespace dotterellug {

// A part of the serving document that one team owns, such as "models".
using SectionName = StrongString<struct SectionNameTag>;
// Hexadecimal BLAKE2b-256 of a text.
using ContentDigest = StrongString<struct ContentDigestTag>;
using SectionTexts = std::map<SectionName, std::string>;

// Object that names the latest revision; its conditional update is the commit.
inline constexpr char kHeadObject[] = "config/head";

// A committed revision: its number, and the object that holds it. Number 0
// stands for the empty document before the first revision.
struct RevisionRef {
  RevisionNumber number;
  std::string object;

  friend auto operator==(const RevisionRef& a, const RevisionRef& b) -> bool {
    return a.number == b.number && a.object == b.object;
  }
  friend auto operator!=(const RevisionRef& a, const RevisionRef& b) -> bool {
    return !(a == b);
  }
};

// Text of a section, as objects in the store.
struct SectionRef {
  // Digest of the whole text.
  ContentDigest digest;
  // Objects whose values, joined, are the text.
  std::vector<std::string> chunks;
};

// One revision of the serving document; immutable once written.
struct Revision {
  RevisionNumber number;
  EditId edit;
  RevisionRef parent;
  std::string author;
  std::string reason;
  // When the author made the edit, for history only.
  WallTime time;
  std::map<SectionName, SectionRef> sections;
};

// Value of kHeadObject.
struct Head {
  RevisionRef revision;
  EditId edit;
};

// JSON texts of the objects. Equal values give equal texts. Parsing fails with
// kProtocol.
auto EncodeRevision(const Revision& revision) -> std::string;
auto ParseRevision(const std::string& text) -> Result<Revision>;
auto EncodeHead(const Head& head) -> std::string;
auto ParseHead(const std::string& text) -> Result<Head>;

}  // namespace dotterellug
