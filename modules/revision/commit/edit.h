#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/errors/error.h"
#include "revision/model/revision.h"

namespace dotterellug {

// A change that an operator wants to commit. To repeat an edit after a failure,
// pass the same value again: the id shows whether it was committed.
struct Edit {
  EditId id;
  // The revision that the author changed.
  RevisionRef base;
  std::string author;
  std::string reason;
  WallTime time;
  // New texts of the changed sections; empty to remove a section.
  std::map<SectionName, std::optional<std::string>> sections;
};

// Edits of one section that were made at the same time. A missing text means
// that the section does not exist there.
struct SectionConflict {
  SectionName section;
  std::optional<std::string> base;
  std::optional<std::string> theirs;
  std::optional<std::string> ours;
};

// The edit is in force.
struct Committed {
  RevisionRef revision;
  // An earlier attempt whose response was lost had already committed it.
  bool recognised = false;
};

// The edit was not committed, because other edits changed the same sections.
struct EditConflict {
  // The revision that holds `theirs`; the base of the next attempt, which needs
  // a new edit id.
  RevisionRef latest;
  std::vector<SectionConflict> sections;
};

using CommitOutcome = std::variant<Committed, EditConflict>;

// Checks a whole document; a failure keeps the edit from being committed.
using ValidateDocument = std::function<Result<void>(const SectionTexts&)>;

}  // namespace dotterellug
