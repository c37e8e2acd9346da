#include "client/commands/file_commands.h"

#include <utility>

#include "client/files/document_files.h"
#include "document/document.h"
#include "settings/settings.h"

namespace dotterellug {

namespace {

auto FaultTable(const FaultList& faults) -> OutputTable {
  OutputTable table{{"source", "line", "path", "value", "message", "remedy"},
                    {}};
  for (const auto& fault : faults.Listed()) {
    table.rows.push_back({fault.source, std::to_string(fault.line), fault.path,
                          fault.value, fault.message, fault.remedy});
  }
  return table;
}

// As lines of text in the form of compilers, which editors can follow, or as a
// list for programs.
auto WriteFaults(const Invocation& invocation, const FaultList& faults)
    -> void {
  if (invocation.options.output == OutputFormat::kTable) {
    invocation.out << faults.Text();
    return;
  }
  WriteTable(FaultTable(faults), invocation.options.output, invocation.out);
}

auto ValidateSettings(const Invocation& invocation) -> ExitCode {
  FaultList faults;
  for (const auto& path : invocation.arguments) {
    const auto settings = LoadSettings(path);
    if (!settings) faults.Append(settings.error());
  }
  WriteFaults(invocation, faults);
  if (!faults.Empty()) return ExitCode::kFailed;
  invocation.err << "valid: " << invocation.arguments.size()
                 << " settings files\n";
  return ExitCode::kDone;
}

auto RunValidate(const Invocation& invocation) -> ExitCode {
  if (invocation.options.settings) return ValidateSettings(invocation);
  const auto files = ReadDocumentFiles(invocation.arguments);
  if (!files) {
    return ReportError(invocation, files.error(), ExitCode::kUsage);
  }
  for (const auto section : kAllSections) {
    const auto& path = files->paths[static_cast<std::size_t>(section)];
    invocation.err << NameOf(section) << ": "
                   << (path.empty() ? "no file, taken as empty" : path) << "\n";
  }
  const auto document = ParseDocument(files->texts);
  if (!document) {
    WriteFaults(invocation, document.error());
    invocation.err << document.error().Total() << " faults\n";
    return ExitCode::kFailed;
  }
  WriteFaults(invocation, FaultList{});
  invocation.err << "valid: " << document->accounts.size() << " accounts, "
                 << document->models.size() << " models, "
                 << document->adapters.size() << " adapters, "
                 << document->zones.size() << " zones, "
                 << document->upstreams.size() << " upstreams\n";
  return ExitCode::kDone;
}

// The document in `path`, or the exit code after its faults were reported.
auto LoadDocument(const Invocation& invocation, const std::string& path)
    -> tl::expected<ServingDocument, ExitCode> {
  const auto files = ReadDocumentFiles({path});
  if (!files) {
    return tl::unexpected<ExitCode>(
        ReportError(invocation, files.error(), ExitCode::kUsage));
  }
  auto document = ParseDocument(files->texts);
  if (document) return std::move(*document);
  invocation.err << path << ":\n" << document.error().Text();
  return tl::unexpected<ExitCode>(ExitCode::kFailed);
}

auto RunDiff(const Invocation& invocation) -> ExitCode {
  const auto before = LoadDocument(invocation, invocation.arguments[0]);
  if (!before) return before.error();
  const auto after = LoadDocument(invocation, invocation.arguments[1]);
  if (!after) return after.error();
  WriteDifferences(invocation, DiffDocuments(*before, *after));
  return ExitCode::kDone;
}

auto RunKeyGenerate(const Invocation& invocation) -> ExitCode {
  const auto& options = invocation.options;
  if (options.account.empty() || options.digest_key_file.empty()) {
    return ReportError(invocation,
                       Error{ErrorKind::kInvalidArgument,
                             "--account and --digest-key-file are needed",
                             "see dotterellugctl key generate --help"},
                       ExitCode::kUsage);
  }
  const auto digest_key = DigestKey::FromFile(options.digest_key_file);
  if (!digest_key) {
    return ReportError(invocation, digest_key.error(), ExitCode::kUsage);
  }
  const auto issued = IssueKey(ClientAccountId(options.account),
                               RandomKeyMaterial(), *digest_key);
  const auto& entry = issued.entry;
  if (options.output == OutputFormat::kTable) {
    ServingDocument document;
    document.keys.emplace(entry.id, entry);
    invocation.out << "key: " << issued.text << "\n"
                   << FormatSection(document, Section::kAccounts);
    return ExitCode::kDone;
  }
  const OutputTable table{{"key", "id", "account", "salt", "digest"},
                          {{issued.text, entry.id.Value(),
                            entry.account.Value(), entry.salt, entry.digest}}};
  WriteTable(table, options.output, invocation.out);
  return ExitCode::kDone;
}

auto RunSettings(const Invocation& invocation) -> ExitCode {
  if (invocation.options.output == OutputFormat::kTable) {
    invocation.out << SettingsMarkdown();
    return ExitCode::kDone;
  }
  OutputTable table{{"key", "accepts", "default", "required", "meaning"}, {}};
  for (const auto& setting : DescribeSettings()) {
    table.rows.push_back({setting.key, setting.accepts, setting.default_value,
                          setting.required ? "true" : "false",
                          setting.meaning});
  }
  WriteTable(table, invocation.options.output, invocation.out);
  return ExitCode::kDone;
}

constexpr std::size_t kManyArguments = 1000;

}  // namespace

auto WriteDifferences(const Invocation& invocation,
                      const std::vector<Difference>& differences) -> void {
  if (invocation.options.output == OutputFormat::kTable) {
    for (const auto& difference : differences) {
      invocation.out << NameOf(difference.section) << " " << difference.Text()
                     << "\n";
    }
    return;
  }
  OutputTable table{{"section", "kind", "path", "before", "after"}, {}};
  for (const auto& difference : differences) {
    table.rows.push_back({std::string(NameOf(difference.section)),
                          std::string(DifferenceKindName(difference.kind)),
                          difference.path, difference.before,
                          difference.after});
  }
  WriteTable(table, invocation.options.output, invocation.out);
}

auto FileCommands() -> std::vector<Command> {
  return {
      {"validate",
       "FILE...",
       "check sections of the serving document, or daemon settings",
       "FILE is a folder with the five section files, or a file named after a "
       "section.\nSections that are not named are read from the folder of the "
       "first file.\nWith --settings, each FILE is a settings file.\n"
       "Prints every fault and exits with 1 when there are any.",
       {"settings"},
       1,
       kManyArguments,
       RunValidate},
      {"diff",
       "OLD NEW",
       "compare two serving documents by meaning",
       "OLD and NEW are folders or section files as for validate.",
       {},
       2,
       2,
       RunDiff},
      {"key generate",
       "",
       "make a caller's key and its entry for the section accounts",
       "Changes nothing. The key's text is shown once and cannot be recovered.",
       {"account", "digest_key_file"},
       0,
       0,
       RunKeyGenerate},
      {"settings",
       "",
       "print the reference table of all daemon settings",
       "",
       {},
       0,
       0,
       RunSettings}};
}

}  // namespace dotterellug
