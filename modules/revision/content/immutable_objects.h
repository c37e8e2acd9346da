#pragma once

#include <set>
#include <string>
#include <unordered_map>

#include "core/errors/error.h"
#include "revision/model/revision.h"
#include "store/port/object_store.h"

namespace dotterellug {

// Immutable objects that are already known: encoded revisions and chunks of
// section text, each verified against the digest in its name. A daemon fills it
// from peers and serves peers from it. Not thread-safe.
class ImmutableObjects {
 public:
  // Keeps `text`; kProtocol when it is not what `name` stands for.
  auto Insert(const std::string& name, std::string text) -> Result<void>;
  // The text, or null when it is not known.
  auto Find(const std::string& name) const -> const std::string*;
  // The text, read from `store` when it is not known.
  auto Load(ObjectStore& store, const std::string& name) -> Result<std::string>;
  // Writes to `store` unless it is there already. Content with an unknown
  // outcome is written again, which is harmless because names are digests.
  auto Save(ObjectStore& store, const std::string& name,
            const std::string& text) -> Result<void>;
  // Forgets all other objects, which bounds the memory of a daemon.
  auto RetainOnly(const std::set<std::string>& names) -> void;

  // What a revision consists of that is not known yet; first the revision
  // itself, then its chunks.
  auto Missing(const RevisionRef& ref) const
      -> Result<std::vector<std::string>>;
  // The texts of all sections; kNotFound while something is missing.
  auto Assemble(const RevisionRef& ref) const -> Result<SectionTexts>;

 private:
  std::unordered_map<std::string, std::string> objects_;
};

}  // namespace dotterellug
