#include "client/commands/section_commands.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "client/commands/change_section.h"
#include "client/commands/file_commands.h"
#include "client/files/document_files.h"

namespace dotterellug {

namespace {

// First line of a text from "section get"; names the base of a later apply.
constexpr std::string_view kBaseComment = "# revision ";

// A section's text and the revision that its first line names.
struct BasedText {
  std::string text;
  std::optional<RevisionNumber> base;
};

auto ParseNumber(std::string_view text) -> std::optional<std::int64_t> {
  std::int64_t number = 0;
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return number;
}

auto SplitBase(std::string text) -> BasedText {
  if (text.compare(0, kBaseComment.size(), kBaseComment) != 0) {
    return {std::move(text), std::nullopt};
  }
  const auto end = std::min(text.find('\n'), text.size());
  const std::string_view line(text.data(), end);
  const auto number = ParseNumber(line.substr(kBaseComment.size()));
  if (!number) return {std::move(text), std::nullopt};
  auto rest = end == text.size() ? "" : text.substr(end + 1);
  return {std::move(rest), RevisionNumber(*number)};
}

auto Usage(const Invocation& invocation, std::string message,
           std::string remedy) -> ExitCode {
  return ReportError(
      invocation,
      Error{ErrorKind::kInvalidArgument, std::move(message), std::move(remedy)},
      ExitCode::kUsage);
}

// The section that the first argument names, or the exit code after a report.
auto SectionArgument(const Invocation& invocation)
    -> tl::expected<Section, ExitCode> {
  const auto& name = invocation.arguments.front();
  const auto section = FindSection(name);
  if (section) return *section;
  return tl::unexpected<ExitCode>(
      Usage(invocation, "no section \"" + name + "\"",
            "write accounts, models, zones, limits or upstreams"));
}

auto Open(const Invocation& invocation) -> tl::expected<Deployment, ExitCode> {
  auto deployment = invocation.outside.open_deployment(invocation.options);
  if (deployment) return std::move(*deployment);
  return tl::unexpected<ExitCode>(
      ReportError(invocation, deployment.error(), ExitCode::kUsage));
}

auto RunGet(const Invocation& invocation) -> ExitCode {
  const auto section = SectionArgument(invocation);
  if (!section) return section.error();
  auto deployment = Open(invocation);
  if (!deployment) return deployment.error();
  const auto wanted = invocation.options.revision;
  auto loaded = deployment->LoadHead();
  if (loaded && wanted >= 0 && loaded->ref.number != RevisionNumber(wanted)) {
    const auto ref = deployment->FindRevision(RevisionNumber(wanted));
    if (!ref) return ReportError(invocation, ref.error(), ExitCode::kFailed);
    loaded = deployment->Load(*ref);
  }
  if (!loaded) {
    return ReportError(invocation, loaded.error(), ExitCode::kFailed);
  }
  const auto& text = loaded->texts.Get(*section);
  const auto number = std::to_string(loaded->ref.number.Value());
  if (invocation.options.output == OutputFormat::kTable) {
    invocation.out << kBaseComment << number << "\n" << text;
    return ExitCode::kDone;
  }
  WriteTable({{"section", "revision", "text"},
              {{std::string(NameOf(*section)), number, text}}},
             invocation.options.output, invocation.out);
  return ExitCode::kDone;
}

auto RunEdit(const Invocation& invocation) -> ExitCode {
  const auto section = SectionArgument(invocation);
  if (!section) return section.error();
  const std::vector<std::string> expressions(invocation.arguments.begin() + 1,
                                             invocation.arguments.end());
  std::string reason = "section edit";
  for (const auto& word : invocation.arguments) {
    reason += " ";
    reason += word;
  }
  const auto plan = [&expressions](const DeployedDocument& /*head*/)
      -> Result<std::vector<std::string>> { return expressions; };
  return ChangeSection(invocation, {*section, reason, plan});
}

// The text to apply and the revision on which it was made.
struct ApplyInput {
  Section section = Section::kAccounts;
  std::string text;
  RevisionNumber base;
};

// Prints the differences between two states of one section.
auto PrintSectionChanges(const Invocation& invocation, Section section,
                         const ServingDocument& before,
                         const ServingDocument& after) -> void {
  for (const auto& difference : DiffDocuments(before, after)) {
    if (difference.section != section) continue;
    invocation.err << "  " << difference.Text() << "\n";
  }
}

// Prints what the winner and the loser of a conflict changed since the base.
auto ReportConflict(const Invocation& invocation, Deployment& deployment,
                    const DeployedDocument& base, const ApplyInput& input,
                    const RevisionRef& latest) -> void {
  invocation.err << "conflict: the section was changed since revision "
                 << base.ref.number << "; the latest is " << latest.number
                 << "\n";
  const auto theirs = deployment.Load(latest);
  if (theirs) {
    invocation.err << "their changes:\n";
    PrintSectionChanges(invocation, input.section, base.document,
                        theirs->document);
    auto ours = theirs->texts;
    ours.Set(input.section, input.text);
    const auto document = ParseDocument(ours);
    invocation.err << "your changes:\n";
    if (document) {
      PrintSectionChanges(invocation, input.section, base.document, *document);
    } else {
      invocation.err << document.error().Text();
    }
  }
  invocation.err << "nothing was changed; get the section again, make the "
                    "change there and apply it\n";
}

auto ReadApplyInput(const Invocation& invocation)
    -> tl::expected<ApplyInput, ExitCode> {
  const auto section = SectionArgument(invocation);
  if (!section) return tl::unexpected<ExitCode>(section.error());
  auto text = ReadTextFile(invocation.arguments[1]);
  if (!text) {
    return tl::unexpected<ExitCode>(
        ReportError(invocation, text.error(), ExitCode::kUsage));
  }
  auto based = SplitBase(std::move(*text));
  if (invocation.options.base >= 0) {
    based.base = RevisionNumber(invocation.options.base);
  }
  if (!based.base) {
    return tl::unexpected<ExitCode>(
        Usage(invocation, "the base revision of the change is not known",
              "keep the first line of \"section get\", or write --base; 0 is "
              "the base of a new deployment"));
  }
  return ApplyInput{*section, std::move(based.text), *based.base};
}

auto CommitText(const Invocation& invocation, Deployment& deployment,
                const ApplyInput& input, const DeployedDocument& base)
    -> ExitCode {
  const auto& options = invocation.options;
  const SectionChange change{
      EditIdOf(options),
      base.ref,
      input.section,
      input.text,
      options.author,
      options.reason.empty()
          ? "section apply " + std::string(NameOf(input.section))
          : options.reason};
  const auto outcome = deployment.Commit(change);
  if (!outcome) {
    return ReportCommitFailure(invocation, outcome.error(), change.id);
  }
  if (std::holds_alternative<Committed>(*outcome)) {
    return ReportCommitted(invocation, std::get<Committed>(*outcome));
  }
  ReportConflict(invocation, deployment, base, input,
                 std::get<EditConflict>(*outcome).latest);
  return ExitCode::kFailed;
}

auto ApplyText(const Invocation& invocation, Deployment& deployment,
               const ApplyInput& input) -> ExitCode {
  const auto head = deployment.LoadHead();
  if (!head) return ReportError(invocation, head.error(), ExitCode::kFailed);
  if (head->texts.Get(input.section) == input.text) {
    invocation.err << "nothing to change at revision " << head->ref.number
                   << "\n";
    return ExitCode::kDone;
  }
  const auto ref = deployment.FindRevision(input.base);
  if (!ref) return ReportError(invocation, ref.error(), ExitCode::kFailed);
  const auto base = deployment.Load(*ref);
  if (!base) return ReportError(invocation, base.error(), ExitCode::kFailed);
  if (base->texts.Get(input.section) != head->texts.Get(input.section) &&
      invocation.options.edit_id.empty()) {
    ReportConflict(invocation, deployment, *base, input, head->ref);
    return ExitCode::kFailed;
  }
  // Others may have changed other sections since the base, so the preview is
  // made on the latest revision, as the commit will be.
  auto texts = head->texts;
  texts.Set(input.section, input.text);
  const auto differences = ShowChange(invocation, *head, texts);
  if (!differences) return differences.error();
  if (invocation.options.dry_run) {
    invocation.err << "dry run: nothing was changed\n";
    return ExitCode::kDone;
  }
  return CommitText(invocation, deployment, input, *base);
}

auto RunApply(const Invocation& invocation) -> ExitCode {
  const auto input = ReadApplyInput(invocation);
  if (!input) return input.error();
  auto deployment = Open(invocation);
  if (!deployment) return deployment.error();
  return ApplyText(invocation, *deployment, *input);
}

// Names of the sections whose text differs between two revisions.
auto ChangedSections(const Revision& revision, const Revision& parent)
    -> std::string {
  std::string names;
  for (const auto section : kAllSections) {
    const auto name = RevisionName(section);
    const auto after = revision.sections.find(name);
    const auto before = parent.sections.find(name);
    const bool has_after = after != revision.sections.end();
    const bool has_before = before != parent.sections.end();
    const bool same =
        has_after == has_before &&
        (!has_after || after->second.digest == before->second.digest);
    if (same) continue;
    if (!names.empty()) names += ",";
    names += NameOf(section);
  }
  return names;
}

auto RunHistory(const Invocation& invocation) -> ExitCode {
  auto deployment = Open(invocation);
  if (!deployment) return deployment.error();
  const auto limit = invocation.options.limit;
  if (limit < 1 || limit > 10'000) {
    return Usage(invocation, "--limit is out of range",
                 "write a number from 1 to 10000");
  }
  // One more, to compare the oldest that is shown with its parent.
  auto revisions = deployment->History(static_cast<std::size_t>(limit) + 1);
  if (!revisions) {
    return ReportError(invocation, revisions.error(), ExitCode::kFailed);
  }
  const Revision none;
  OutputTable table{
      {"revision", "time", "author", "sections", "edit", "reason"}, {}};
  for (std::size_t i = 0; i < revisions->size(); ++i) {
    if (i == static_cast<std::size_t>(limit)) break;
    const auto& revision = (*revisions)[i];
    const auto& parent = i + 1 < revisions->size() ? (*revisions)[i + 1] : none;
    table.rows.push_back({std::to_string(revision.number.Value()),
                          FormatWallTime(revision.time), revision.author,
                          ChangedSections(revision, parent),
                          revision.edit.Value(), revision.reason});
  }
  WriteTable(table, invocation.options.output, invocation.out);
  return ExitCode::kDone;
}

// The document as it would be after the edit.
auto TextsAfter(const DeployedDocument& head, const Edit& edit)
    -> DocumentTexts {
  auto texts = head.texts;
  for (const auto& [name, text] : edit.sections) {
    const auto section = FindSection(name.Value());
    if (section) texts.Set(*section, text.value_or(""));
  }
  return texts;
}

auto Rollback(const Invocation& invocation, Deployment& deployment,
              Section section, RevisionNumber target) -> ExitCode {
  const auto& options = invocation.options;
  const auto number = std::to_string(target.Value());
  const RollbackRequest request{
      RandomEditId(),
      options.author,
      options.reason.empty()
          ? "section rollback " + std::string(NameOf(section)) + " " + number
          : options.reason,
      WallNow(),
      target,
      {RevisionName(section)}};
  const auto edit = deployment.PrepareRollback(request);
  if (!edit) return ReportError(invocation, edit.error(), ExitCode::kFailed);
  const auto head = deployment.Load(edit->base);
  if (!head) return ReportError(invocation, head.error(), ExitCode::kFailed);
  if (edit->sections.empty()) {
    invocation.err << "nothing to change at revision " << head->ref.number
                   << "\n";
    return ExitCode::kDone;
  }
  const auto differences =
      ShowChange(invocation, *head, TextsAfter(*head, *edit));
  if (!differences) return differences.error();
  if (options.dry_run) {
    invocation.err << "dry run: nothing was changed\n";
    return ExitCode::kDone;
  }
  const auto outcome = deployment.Commit(*edit);
  if (!outcome) {
    return ReportCommitFailure(invocation, outcome.error(), edit->id);
  }
  if (std::holds_alternative<Committed>(*outcome)) {
    return ReportCommitted(invocation, std::get<Committed>(*outcome));
  }
  return ReportError(
      invocation,
      Error{ErrorKind::kConflict, "the section was changed meanwhile",
            "look at the history and repeat the command"},
      ExitCode::kFailed);
}

auto RunRollback(const Invocation& invocation) -> ExitCode {
  const auto section = SectionArgument(invocation);
  if (!section) return section.error();
  const auto number = ParseNumber(invocation.arguments[1]);
  if (!number || *number < 1) {
    return Usage(invocation,
                 "\"" + invocation.arguments[1] + "\" is not a revision",
                 "write a number from section history");
  }
  auto deployment = Open(invocation);
  if (!deployment) return deployment.error();
  return Rollback(invocation, *deployment, *section, RevisionNumber(*number));
}

constexpr std::size_t kManyArguments = 1000;

}  // namespace

auto SectionCommands() -> std::vector<Command> {
  return {
      {"section get",
       "SECTION",
       "print a section's text",
       "The first line names the revision; keep it for section apply.",
       {"object_api", "revision"},
       1,
       1,
       RunGet},
      {"section edit",
       "SECTION CHANGE...",
       "change single values of a section",
       "CHANGE is KEY=VALUE, LIST[ID].KEY=VALUE, LIST[ID].KEY= (default) or "
       "LIST[ID]= (remove).",
       {"object_api", "dry_run", "author", "reason", "timeout"},
       2,
       kManyArguments,
       RunEdit},
      {"section apply",
       "SECTION FILE",
       "replace a section's text by a file",
       "Edits that others made to other sections since the base revision are "
       "kept.\nWhen others changed this section, nothing is changed and the "
       "differences are shown.",
       {"object_api", "dry_run", "author", "reason", "timeout", "base",
        "edit_id"},
       2,
       2,
       RunApply},
      {"section history",
       "",
       "list the latest revisions",
       "",
       {"object_api", "limit"},
       0,
       0,
       RunHistory},
      {"section rollback",
       "SECTION REVISION",
       "take a section back to an earlier text, as a new revision",
       "",
       {"object_api", "dry_run", "author", "reason", "timeout"},
       2,
       2,
       RunRollback}};
}

}  // namespace dotterellug
