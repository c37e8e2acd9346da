#include "revision/commit/revision_repository.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "core/text/utf8.h"
#include "revision/content/content_digest.h"
#include "revision/content/text_chunks.h"

namespace dotterellug {
namespace {

// Attempts of one Commit call when other edits win the head or its response is
// lost; the caller's backoff follows.
constexpr int kCommitAttempts = 8;
// Revisions that a walk from the head to the base of an edit reads at most. At
// 20,000 changes a day this is about an hour and a half.
constexpr std::int64_t kMaxRevisionsSinceBase = 1000;

auto Forward(const Error& error) -> tl::unexpected<Error> {
  return tl::unexpected<Error>(error);
}

// Revisions are written as JSON, which holds no other text.
auto CheckTexts(const Edit& edit) -> Result<void> {
  const std::array<std::pair<const char*, std::string_view>, 3> texts{
      {{"id", edit.id.Value()},
       {"author", edit.author},
       {"reason", edit.reason}}};
  for (const auto& [name, text] : texts) {
    if (IsUtf8(text)) continue;
    return Fail(ErrorKind::kInvalidArgument,
                std::string("the ") + name + " of the edit is not valid UTF-8",
                "write it in UTF-8");
  }
  return {};
}

auto FindText(const SectionTexts& texts, const SectionName& section)
    -> std::optional<std::string> {
  const auto found = texts.find(section);
  if (found == texts.end()) return std::nullopt;
  return found->second;
}

auto StaleHead(const RevisionRef& head, RevisionNumber known)
    -> tl::unexpected<Error> {
  return Fail(ErrorKind::kUnavailable,
              "the store answered with revision " +
                  std::to_string(head.number.Value()) + ", older than " +
                  std::to_string(known.Value()),
              "repeat the call");
}

auto RefToSection(const std::string& text) -> SectionRef {
  SectionRef section{DigestOf(text), {}};
  for (const auto& chunk : SplitText(text)) {
    section.chunks.push_back(ChunkObjectName(chunk));
  }
  return section;
}

auto ApplyToTexts(const Edit& edit, SectionTexts& texts) -> void {
  for (const auto& [name, text] : edit.sections) {
    if (text) {
      texts[name] = *text;
    } else {
      texts.erase(name);
    }
  }
}

auto MakeRevision(const LoadedRevision& head, const Edit& edit) -> Revision {
  Revision revision{head.ref.number.Next(),
                    edit.id,
                    head.ref,
                    edit.author,
                    edit.reason,
                    edit.time,
                    head.revision.sections};
  for (const auto& [name, text] : edit.sections) {
    if (text) {
      revision.sections[name] = RefToSection(*text);
    } else {
      revision.sections.erase(name);
    }
  }
  return revision;
}

}  // namespace

auto RevisionRepository::ReadHead() -> Result<RevisionRef> {
  return ReadVersionedHead().map(
      [](const VersionedHead& head) { return head.revision; });
}

auto RevisionRepository::Load(const RevisionRef& ref)
    -> Result<LoadedRevision> {
  LoadedRevision loaded{ref, {}, {}};
  if (ref.number == RevisionNumber(0)) return loaded;
  auto revision = LoadRevision(ref);
  if (!revision) return Forward(revision.error());
  const auto missing = objects_.Missing(ref);
  if (!missing) return Forward(missing.error());
  for (const auto& chunk : *missing) {
    const auto text = objects_.Load(store_, chunk);
    if (!text) return Forward(text.error());
  }
  auto texts = objects_.Assemble(ref);
  if (!texts) return Forward(texts.error());
  loaded.revision = *std::move(revision);
  loaded.texts = *std::move(texts);
  return loaded;
}

auto RevisionRepository::Commit(const Edit& edit,
                                const ValidateDocument& validate)
    -> Result<CommitOutcome> {
  const auto checked = CheckTexts(edit);
  if (!checked) return Forward(checked.error());
  CommitProgress progress;
  for (int i = 0; i < kCommitAttempts; ++i) {
    auto attempt = TryCommit(edit, validate, progress);
    if (attempt && attempt->has_value()) return **std::move(attempt);
    if (attempt) continue;
    if (progress.invalid || !progress.outcome_unknown) {
      return Forward(attempt.error());
    }
    // After a lost response only a successful read can tell the outcome.
    if (attempt.error().kind != ErrorKind::kUnavailable) break;
  }
  if (progress.outcome_unknown) {
    return Fail(ErrorKind::kOutcomeUnknown,
                "edit " + edit.id.Value() + " may have been committed",
                "repeat the same edit");
  }
  return Fail(ErrorKind::kUnavailable,
              "edit " + edit.id.Value() + " lost against other edits " +
                  std::to_string(kCommitAttempts) + " times",
              "repeat the same edit");
}

auto RevisionRepository::History(std::size_t limit)
    -> Result<std::vector<Revision>> {
  const auto head = ReadHead();
  if (!head) return Forward(head.error());
  std::vector<Revision> revisions;
  auto ref = *head;
  while (ref.number > RevisionNumber(0) && revisions.size() < limit) {
    auto revision = LoadRevision(ref);
    if (!revision) return Forward(revision.error());
    ref = revision->parent;
    revisions.push_back(*std::move(revision));
  }
  return revisions;
}

auto RevisionRepository::PrepareRollback(const RollbackRequest& request)
    -> Result<Edit> {
  const auto head = ReadHead();
  if (!head) return Forward(head.error());
  auto target = *head;
  while (target.number > request.target) {
    const auto revision = LoadRevision(target);
    if (!revision) return Forward(revision.error());
    target = revision->parent;
  }
  if (target.number != request.target || target.object.empty()) {
    return Fail(ErrorKind::kNotFound,
                "revision " + std::to_string(request.target.Value()) +
                    " does not exist",
                "choose one of the history");
  }
  const auto from = Load(*head);
  if (!from) return Forward(from.error());
  const auto to = Load(target);
  if (!to) return Forward(to.error());
  Edit edit{request.id,     *head,        request.author,
            request.reason, request.time, {}};
  std::set<SectionName> names = request.sections;
  if (names.empty()) {
    for (const auto& [name, text] : from->texts) names.insert(name);
    for (const auto& [name, text] : to->texts) names.insert(name);
  }
  for (const auto& name : names) {
    const auto text = FindText(to->texts, name);
    if (text != FindText(from->texts, name)) edit.sections[name] = text;
  }
  return edit;
}

auto RevisionRepository::ReadVersionedHead() -> Result<VersionedHead> {
  const auto record = store_.Get(kHeadObject);
  if (!record && record.error().kind != ErrorKind::kNotFound) {
    return Forward(record.error());
  }
  VersionedHead head{{}, kAbsent};
  if (record) {
    const auto parsed = ParseHead(record->value);
    if (!parsed) return Forward(parsed.error());
    head = VersionedHead{parsed->revision, record->version};
  }
  if (head.revision.number < newest_seen_) {
    return StaleHead(head.revision, newest_seen_);
  }
  newest_seen_ = head.revision.number;
  return head;
}

auto RevisionRepository::LoadRevision(const RevisionRef& ref)
    -> Result<Revision> {
  const auto text = objects_.Load(store_, ref.object);
  if (!text) return Forward(text.error());
  return ParseRevision(*text);
}

auto RevisionRepository::TryCommit(const Edit& edit,
                                   const ValidateDocument& validate,
                                   CommitProgress& progress) -> Attempt {
  const auto head = ReadVersionedHead();
  if (!head) return Forward(head.error());
  // Recognition comes first: an edit that was committed must neither conflict
  // with itself nor be validated again.
  const auto committed = FindEdit(head->revision, edit);
  if (!committed) return Forward(committed.error());
  if (*committed) return CommitOutcome(Committed{**committed, true});
  const auto latest = Load(head->revision);
  if (!latest) return Forward(latest.error());
  auto conflicts = FindConflicts(*latest, edit);
  if (!conflicts) return Forward(conflicts.error());
  if (!conflicts->empty()) {
    return CommitOutcome(EditConflict{latest->ref, *std::move(conflicts)});
  }
  auto merged = latest->texts;
  ApplyToTexts(edit, merged);
  const auto valid = validate(merged);
  if (!valid) {
    progress.invalid = true;
    return Forward(valid.error());
  }
  const auto saved = Save(MakeRevision(*latest, edit), edit);
  if (!saved) return Forward(saved.error());
  return WriteHead(*saved, edit, head->version, progress);
}

auto RevisionRepository::WriteHead(const RevisionRef& saved, const Edit& edit,
                                   ObjectVersion expected,
                                   CommitProgress& progress) -> Attempt {
  const auto written =
      store_.Put(kHeadObject, EncodeHead(Head{saved, edit.id}), expected);
  if (written) {
    newest_seen_ = std::max(newest_seen_, saved.number);
    return CommitOutcome(Committed{saved, false});
  }
  if (written.error().kind == ErrorKind::kConflict) return std::nullopt;
  if (written.error().kind != ErrorKind::kOutcomeUnknown) {
    return Forward(written.error());
  }
  progress.outcome_unknown = true;
  return std::nullopt;
}

auto RevisionRepository::FindEdit(const RevisionRef& head, const Edit& edit)
    -> Result<std::optional<RevisionRef>> {
  if (head.number < edit.base.number) return StaleHead(head, edit.base.number);
  if (head.number - edit.base.number > RevisionNumber(kMaxRevisionsSinceBase)) {
    return Fail(ErrorKind::kInvalidArgument,
                "base revision " + std::to_string(edit.base.number.Value()) +
                    " is more than " + std::to_string(kMaxRevisionsSinceBase) +
                    " revisions old",
                "look for the edit id in the history; if it is not there, make "
                "the change on the latest revision");
  }
  auto ref = head;
  while (ref.number > edit.base.number) {
    const auto revision = LoadRevision(ref);
    if (!revision) return Forward(revision.error());
    if (revision->edit == edit.id) return ref;
    ref = revision->parent;
  }
  if (ref == edit.base) return std::nullopt;
  return Fail(ErrorKind::kInvalidArgument,
              "base " + edit.base.object + " was never committed",
              "make the change on the latest revision");
}

auto RevisionRepository::FindConflicts(const LoadedRevision& head,
                                       const Edit& edit)
    -> Result<std::vector<SectionConflict>> {
  std::vector<SectionConflict> conflicts;
  if (head.ref == edit.base) return conflicts;
  const auto base = Load(edit.base);
  if (!base) return Forward(base.error());
  for (const auto& [name, ours] : edit.sections) {
    const auto before = FindText(base->texts, name);
    const auto theirs = FindText(head.texts, name);
    if (theirs == before || theirs == ours) continue;
    conflicts.push_back(SectionConflict{name, before, theirs, ours});
  }
  return conflicts;
}

auto RevisionRepository::Save(const Revision& revision, const Edit& edit)
    -> Result<RevisionRef> {
  for (const auto& [name, text] : edit.sections) {
    if (!text) continue;
    for (const auto& chunk : SplitText(*text)) {
      const auto saved = objects_.Save(store_, ChunkObjectName(chunk), chunk);
      if (!saved) return Forward(saved.error());
    }
  }
  const auto text = EncodeRevision(revision);
  const auto object = RevisionObjectName(revision.number, text);
  const auto saved = objects_.Save(store_, object, text);
  if (!saved) return Forward(saved.error());
  return RevisionRef{revision.number, object};
}

}  // namespace dotterellug
