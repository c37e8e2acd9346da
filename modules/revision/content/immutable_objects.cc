#include "revision/content/immutable_objects.h"

#include <utility>

#include "revision/content/content_digest.h"

namespace dotterellug {
namespace {

// Tries to write one object whose outcome stays unknown.
constexpr int kSaveAttempts = 3;

}  // namespace

auto ImmutableObjects::Insert(const std::string& name, std::string text)
    -> Result<void> {
  const auto checked = CheckContent(name, text);
  if (checked) objects_[name] = std::move(text);
  return checked;
}

auto ImmutableObjects::Find(const std::string& name) const
    -> const std::string* {
  const auto found = objects_.find(name);
  return found == objects_.end() ? nullptr : &found->second;
}

auto ImmutableObjects::Load(ObjectStore& store, const std::string& name)
    -> Result<std::string> {
  if (const auto* known = Find(name)) return *known;
  auto record = store.Get(name);
  if (!record && record.error().kind == ErrorKind::kNotFound) {
    // The head names only objects that were written before it.
    return Fail(ErrorKind::kUnavailable, name + " is not visible yet",
                "repeat later");
  }
  if (!record) return tl::unexpected<Error>(record.error());
  const auto inserted = Insert(name, record->value);
  if (!inserted) return tl::unexpected<Error>(inserted.error());
  return std::move(record->value);
}

auto ImmutableObjects::Save(ObjectStore& store, const std::string& name,
                            const std::string& text) -> Result<void> {
  Result<ObjectVersion> written;
  for (int i = 0; i < kSaveAttempts; ++i) {
    written = store.Put(name, text, kAbsent);
    if (written || written.error().kind == ErrorKind::kConflict) {
      return Insert(name, text);
    }
    if (written.error().kind != ErrorKind::kOutcomeUnknown) break;
  }
  auto error = written.error();
  // Without the head, an object that may have been written has no effect.
  if (error.kind == ErrorKind::kOutcomeUnknown) {
    error.kind = ErrorKind::kUnavailable;
  }
  return tl::unexpected<Error>(std::move(error));
}

auto ImmutableObjects::RetainOnly(const std::set<std::string>& names) -> void {
  for (auto it = objects_.begin(); it != objects_.end();) {
    it = names.count(it->first) > 0 ? std::next(it) : objects_.erase(it);
  }
}

auto ImmutableObjects::Missing(const RevisionRef& ref) const
    -> Result<std::vector<std::string>> {
  const auto* text = Find(ref.object);
  if (text == nullptr) return std::vector<std::string>{ref.object};
  const auto revision = ParseRevision(*text);
  if (!revision) return tl::unexpected<Error>(revision.error());
  std::vector<std::string> missing;
  for (const auto& [name, section] : revision->sections) {
    for (const auto& chunk : section.chunks) {
      if (Find(chunk) == nullptr) missing.push_back(chunk);
    }
  }
  return missing;
}

auto ImmutableObjects::Assemble(const RevisionRef& ref) const
    -> Result<SectionTexts> {
  const auto missing = Missing(ref);
  if (!missing) return tl::unexpected<Error>(missing.error());
  if (!missing->empty()) {
    return Fail(ErrorKind::kNotFound, missing->front() + " is missing",
                "fetch it first");
  }
  const auto revision = ParseRevision(*Find(ref.object));
  SectionTexts texts;
  for (const auto& [name, section] : revision->sections) {
    auto& text = texts[name];
    for (const auto& chunk : section.chunks) text += *Find(chunk);
    if (DigestOf(text) == section.digest) continue;
    return Fail(ErrorKind::kProtocol,
                "section " + name.Value() + " differs from its digest",
                "roll back to an earlier revision");
  }
  return texts;
}

}  // namespace dotterellug
