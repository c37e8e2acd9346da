#pragma once

#include <functional>
#include <string>
#include <vector>

#include "client/commands/command.h"

namespace dotterellug {

// Expressions for EditSection that carry out a change on this document; empty
// when the document has the wanted state already.
using PlanChange = std::function<Result<std::vector<std::string>>(
    const DeployedDocument& document)>;

// A change of one section that can be made again on a newer revision.
struct PlannedChange {
  Section section = Section::kAccounts;
  // Reason in the history unless the options give one.
  std::string reason;
  PlanChange plan;
};

// Prints the differences, then commits them unless the options ask for a dry
// run. Made again on the latest revision when another edit of the same section
// wins. Repeating it is safe: nothing is committed when the wanted state is
// there already.
auto ChangeSection(const Invocation& invocation, const PlannedChange& change)
    -> ExitCode;

// Prints how a commit ended.
auto ReportCommitted(const Invocation& invocation, const Committed& committed)
    -> ExitCode;
// Prints a failed commit; `edit` names the edit for its repetition.
auto ReportCommitFailure(const Invocation& invocation, const Error& error,
                         const EditId& edit) -> ExitCode;

// Parses the changed texts and prints the differences to `before`. The failure
// is the exit code after all faults were printed.
auto ShowChange(const Invocation& invocation, const DeployedDocument& before,
                const DocumentTexts& after)
    -> tl::expected<std::vector<Difference>, ExitCode>;

// The edit id of the options, or a new one.
auto EditIdOf(const Options& options) -> EditId;

}  // namespace dotterellug
