#include "client/commands/change_section.h"

#include <utility>

#include "client/commands/file_commands.h"

namespace dotterellug {

namespace {

// Edits of the same section by others that one command gives way to.
constexpr int kMaxConflicts = 5;

auto HasComment(const std::string& text) -> bool {
  return text.rfind('#', 0) == 0 || text.find("\n#") != std::string::npos ||
         text.find(" #") != std::string::npos;
}

auto ApplyExpressions(std::string text,
                      const std::vector<std::string>& expressions)
    -> Result<std::string> {
  for (const auto& expression : expressions) {
    auto edited = EditSection(text, expression);
    if (!edited) return edited;
    text = std::move(*edited);
  }
  return text;
}

// Commits a section's text; empty when another edit of the section won.
auto CommitChange(const Invocation& invocation, Deployment& deployment,
                  const PlannedChange& change, const RevisionRef& base,
                  std::string text) -> std::optional<ExitCode> {
  const auto& options = invocation.options;
  const SectionChange commit{
      RandomEditId(), base,
      change.section, std::move(text),
      options.author, options.reason.empty() ? change.reason : options.reason};
  const auto outcome = deployment.Commit(commit);
  if (!outcome) {
    return ReportCommitFailure(invocation, outcome.error(), commit.id);
  }
  if (std::holds_alternative<EditConflict>(*outcome)) return std::nullopt;
  return ReportCommitted(invocation, std::get<Committed>(*outcome));
}

// One attempt on the latest revision; empty when another edit won.
auto TryChange(const Invocation& invocation, Deployment& deployment,
               const PlannedChange& change) -> std::optional<ExitCode> {
  const auto head = deployment.LoadHead();
  if (!head) return ReportError(invocation, head.error(), ExitCode::kFailed);
  const auto expressions = change.plan(*head);
  if (!expressions) {
    return ReportError(invocation, expressions.error(), ExitCode::kFailed);
  }
  const auto& before = head->texts.Get(change.section);
  auto text = ApplyExpressions(before, *expressions);
  if (!text) return ReportError(invocation, text.error(), ExitCode::kUsage);
  auto texts = head->texts;
  texts.Set(change.section, *text);
  const auto differences = ShowChange(invocation, *head, texts);
  if (!differences) return differences.error();
  if (differences->empty()) {
    invocation.err << "nothing to change at revision " << head->ref.number
                   << "\n";
    return ExitCode::kDone;
  }
  if (HasComment(before)) {
    invocation.err << "note: the comments of section " << NameOf(change.section)
                   << " are not kept; use section get and apply to keep them\n";
  }
  if (invocation.options.dry_run) {
    invocation.err << "dry run: nothing was changed\n";
    return ExitCode::kDone;
  }
  return CommitChange(invocation, deployment, change, head->ref,
                      std::move(*text));
}

}  // namespace

auto ChangeSection(const Invocation& invocation, const PlannedChange& change)
    -> ExitCode {
  auto deployment = invocation.outside.open_deployment(invocation.options);
  if (!deployment) {
    return ReportError(invocation, deployment.error(), ExitCode::kUsage);
  }
  for (int i = 0; i < kMaxConflicts; ++i) {
    const auto code = TryChange(invocation, *deployment, change);
    if (code) return *code;
    invocation.err << "another edit of section " << NameOf(change.section)
                   << " was faster; making the change on its revision\n";
  }
  return ReportError(
      invocation,
      Error{ErrorKind::kConflict,
            "other edits won " + std::to_string(kMaxConflicts) + " times",
            "repeat the command"},
      ExitCode::kFailed);
}

auto ReportCommitted(const Invocation& invocation, const Committed& committed)
    -> ExitCode {
  invocation.err << (committed.recognised ? "was committed before as revision "
                                          : "committed revision ")
                 << committed.revision.number << "\n";
  return ExitCode::kDone;
}

auto ReportCommitFailure(const Invocation& invocation, const Error& error,
                         const EditId& edit) -> ExitCode {
  if (error.kind == ErrorKind::kOutcomeUnknown) {
    invocation.err << "edit " << edit
                   << " may have been committed; \"section history\" shows it, "
                      "and repeating the command is safe\n";
  }
  return ReportError(invocation, error, ExitCode::kFailed);
}

auto ShowChange(const Invocation& invocation, const DeployedDocument& before,
                const DocumentTexts& after)
    -> tl::expected<std::vector<Difference>, ExitCode> {
  const auto document = ParseDocument(after);
  if (!document) {
    invocation.err << document.error().Text();
    return tl::unexpected<ExitCode>(ExitCode::kFailed);
  }
  auto differences = DiffDocuments(before.document, *document);
  WriteDifferences(invocation, differences);
  return differences;
}

auto EditIdOf(const Options& options) -> EditId {
  return options.edit_id.empty() ? RandomEditId() : EditId(options.edit_id);
}

}  // namespace dotterellug
