#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/errors/error.h"
#include "core/time/time.h"
#include "document/document.h"
#include "revision/revision.h"

namespace dotterellug {

// A revision as the client works with it.
struct DeployedDocument {
  RevisionRef ref;
  DocumentTexts texts;
  ServingDocument document;
};

// How often and how long a failed commit is repeated.
struct RetryPolicy {
  Duration timeout = std::chrono::seconds(30);
  Duration first_pause = std::chrono::milliseconds(100);
  Duration longest_pause = std::chrono::seconds(2);
  // Waits; tests pass a function that returns at once.
  std::function<void(Duration)> pause;
};

// A new text for one section, made on the revision `base`.
struct SectionChange {
  EditId id;
  RevisionRef base;
  Section section = Section::kAccounts;
  std::string text;
  std::string author;
  std::string reason;
};

// The deployment's serving document in the object API. Not thread-safe.
class Deployment {
 public:
  Deployment(ObjectStore store, RetryPolicy retry)
      : repository_(std::move(store)), retry_(std::move(retry)) {}

  // The latest revision; number 0 and an empty document before the first.
  auto LoadHead() -> Result<DeployedDocument>;
  auto Load(const RevisionRef& ref) -> Result<DeployedDocument>;
  // Reference of an earlier revision; kNotFound when there is none.
  auto FindRevision(RevisionNumber number) -> Result<RevisionRef>;
  auto History(std::size_t limit) -> Result<std::vector<Revision>>;

  // Commits a change; repeats the same edit while the outcome is unknown or the
  // store is unavailable, until the policy's time is over.
  auto Commit(const SectionChange& change) -> Result<CommitOutcome>;
  auto Commit(const Edit& edit) -> Result<CommitOutcome>;
  auto PrepareRollback(const RollbackRequest& request) -> Result<Edit>;

 private:
  RevisionRepository repository_;
  RetryPolicy retry_;
};

// A random name for an edit.
auto RandomEditId() -> EditId;

}  // namespace dotterellug
