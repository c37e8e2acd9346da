#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "revision/commit/edit.h"
#include "revision/content/immutable_objects.h"
#include "revision/model/revision.h"
#include "store/port/object_store.h"

namespace dotterellug {

// A revision with the texts of its sections.
struct LoadedRevision {
  RevisionRef ref;
  Revision revision;
  SectionTexts texts;
};

// Author of a rollback and why it is made; see Edit.
struct RollbackRequest {
  EditId id;
  std::string author;
  std::string reason;
  WallTime time;
  // The earlier revision, and the sections to take from it (empty: all).
  RevisionNumber target;
  std::set<SectionName> sections;
};

// The revisions of the serving document in the object store. Waits for nothing:
// a caller repeats failed calls with a backoff of its own. Not thread-safe.
class RevisionRepository {
 public:
  explicit RevisionRepository(ObjectStore store) : store_(std::move(store)) {}

  // Reference of the latest revision; number 0 when there is none. A stale read
  // that is older than a revision seen before gives kUnavailable.
  auto ReadHead() -> Result<RevisionRef>;
  // A revision with its texts, verified by digest.
  auto Load(const RevisionRef& ref) -> Result<LoadedRevision>;

  // Commits `edit` on top of the latest revision. Edits of other sections since
  // `edit.base` are kept, and the merged document is validated as a whole.
  // Errors of `validate` are passed on. kOutcomeUnknown: may be committed, now
  // or later; repeat the same edit to find out. kUnavailable: not committed.
  auto Commit(const Edit& edit, const ValidateDocument& validate)
      -> Result<CommitOutcome>;

  // The latest revisions, newest first, at most `limit`.
  auto History(std::size_t limit) -> Result<std::vector<Revision>>;
  // The edit that takes sections back to the texts of an earlier revision, to
  // be committed as a new revision. kNotFound: no such revision.
  auto PrepareRollback(const RollbackRequest& request) -> Result<Edit>;

 private:
  struct VersionedHead {
    RevisionRef revision;
    ObjectVersion version;
  };
  // Outcome of one attempt; empty when the head has changed meanwhile or the
  // response of its update was lost.
  using Attempt = Result<std::optional<CommitOutcome>>;
  struct CommitProgress {
    // The response to an update of the head was lost.
    bool outcome_unknown = false;
    // The last failure is the verdict of the validation.
    bool invalid = false;
  };

  auto ReadVersionedHead() -> Result<VersionedHead>;
  auto LoadRevision(const RevisionRef& ref) -> Result<Revision>;
  auto TryCommit(const Edit& edit, const ValidateDocument& validate,
                 CommitProgress& progress) -> Attempt;
  auto WriteHead(const RevisionRef& saved, const Edit& edit,
                 ObjectVersion expected, CommitProgress& progress) -> Attempt;
  // The revision of `edit` among those after its base, if it is there.
  auto FindEdit(const RevisionRef& head, const Edit& edit)
      -> Result<std::optional<RevisionRef>>;
  auto FindConflicts(const LoadedRevision& head, const Edit& edit)
      -> Result<std::vector<SectionConflict>>;
  auto Save(const Revision& revision, const Edit& edit) -> Result<RevisionRef>;

  ObjectStore store_;
  ImmutableObjects objects_;
  // Highest revision that the head named. Without it, a stale read after a lost
  // response could report a conflict for an edit that was committed.
  RevisionNumber newest_seen_;
};

}  // namespace dotterellug
