#include "client/commands/command_table.h"

#include <algorithm>
#include <map>
#include <sstream>

#include "client/commands/explain_command.h"
#include "client/commands/file_commands.h"
#include "client/commands/key_commands.h"
#include "client/commands/section_commands.h"
#include "client/commands/status_command.h"
#include "client/commands/wait_command.h"
#include "client/commands/zone_commands.h"

namespace dotterellug {

namespace {

constexpr auto* kProgram = "dotterellugctl";

auto WriteCompletion(const Invocation& invocation) -> ExitCode {
  if (invocation.arguments.front() != "bash") {
    return ReportError(
        invocation,
        Error{ErrorKind::kInvalidArgument,
              "no completion for \"" + invocation.arguments.front() + "\"",
              "write bash"},
        ExitCode::kUsage);
  }
  invocation.out << BashCompletion();
  return ExitCode::kDone;
}

// First word of a command's name, and the second if there is one.
struct CommandWords {
  std::string first;
  std::string second;
};

auto SplitName(const std::string& name) -> CommandWords {
  const auto space = name.find(' ');
  if (space == std::string::npos) return {name, ""};
  return {name.substr(0, space), name.substr(space + 1)};
}

auto Synopsis(const Command& command) -> std::string {
  std::string text = std::string(kProgram) + " " + command.name;
  if (!command.arguments.empty()) text += " " + command.arguments;
  return text;
}

// A case branch that offers `words` when `pattern` matches the words so far.
auto CompletionBranch(const std::string& pattern,
                      const std::vector<std::string>& words) -> std::string {
  std::string text = "    \"" + pattern + "\") words=\"";
  for (std::size_t i = 0; i < words.size(); ++i) {
    if (i > 0) text += " ";
    text += words[i];
  }
  return text + "\" ;;\n";
}

auto FlagWords(const Command& command) -> std::vector<std::string> {
  std::vector<std::string> words{"--output", "--help"};
  for (const auto& flag : command.flags) words.push_back(FlagText(flag));
  return words;
}

}  // namespace

auto AllCommands() -> const std::vector<Command>& {
  static const std::vector<Command> commands = [] {
    auto all = FileCommands();
    for (auto& command : SectionCommands()) all.push_back(std::move(command));
    for (auto& command : KeyCommands()) all.push_back(std::move(command));
    for (auto& command : ZoneCommands()) all.push_back(std::move(command));
    all.push_back(WaitCommand());
    all.push_back(StatusCommand());
    all.push_back(ExplainCommand());
    all.push_back({"completion",
                   "bash",
                   "print a shell completion script",
                   "Load it with: source <(dotterellugctl completion bash)",
                   {},
                   1,
                   1,
                   WriteCompletion});
    return all;
  }();
  return commands;
}

auto FindCommand(const std::vector<std::string>& words) -> const Command* {
  for (const auto& command : AllCommands()) {
    const auto name = SplitName(command.name);
    if (words.empty() || words[0] != name.first) continue;
    if (name.second.empty()) return &command;
    if (words.size() > 1 && words[1] == name.second) return &command;
  }
  return nullptr;
}

auto OverviewHelp() -> std::string {
  std::size_t width = 0;
  for (const auto& command : AllCommands()) {
    width = std::max(width, Synopsis(command).size());
  }
  std::ostringstream text;
  text << "Operates a dotterellug deployment.\n\n";
  for (const auto& command : AllCommands()) {
    auto synopsis = Synopsis(command);
    synopsis.resize(width, ' ');
    text << "  " << synopsis << "  " << command.summary << "\n";
  }
  text << "\nEach command has --help and --output table|json|yaml.\n"
          "Exit codes: 0 done, 1 operation failed, 2 wrong command line or "
          "files.\n";
  return text.str();
}

auto CommandHelp(const Command& command) -> std::string {
  std::ostringstream text;
  text << Synopsis(command) << "\n\n" << command.summary << "\n";
  if (!command.details.empty()) text << "\n" << command.details << "\n";
  text << "\nFlags:\n  " << FlagHelp("output") << "\n";
  for (const auto& flag : command.flags) text << "  " << FlagHelp(flag) << "\n";
  return text.str();
}

auto BashCompletion() -> std::string {
  // Second words by first word.
  std::map<std::string, std::vector<std::string>> second_words;
  std::string branches;
  for (const auto& command : AllCommands()) {
    const auto name = SplitName(command.name);
    second_words[name.first];
    if (!name.second.empty()) second_words[name.first].push_back(name.second);
    branches += CompletionBranch(command.name, FlagWords(command));
  }
  std::vector<std::string> first_words;
  for (const auto& [first, seconds] : second_words) {
    first_words.push_back(first);
    if (!seconds.empty()) branches += CompletionBranch(first, seconds);
  }
  std::string text = "_dotterellugctl() {\n";
  text +=
      "  local current=\"${COMP_WORDS[COMP_CWORD]}\" words=\"\" before=\"\"\n";
  text += "  local i\n";
  text += "  for ((i = 1; i < COMP_CWORD && i < 3; i++)); do\n";
  text += "    [[ \"${COMP_WORDS[i]}\" == -* ]] && break\n";
  text += "    before+=\"${before:+ }${COMP_WORDS[i]}\"\n";
  text += "  done\n";
  text += "  case \"$before\" in\n";
  text += CompletionBranch("", first_words);
  text += branches;
  text += "    *) words=\"--output --help\" ;;\n";
  text += "  esac\n";
  text += "  COMPREPLY=($(compgen -W \"$words\" -- \"$current\"))\n";
  text += "}\n";
  text += "complete -o default -F _dotterellugctl dotterellugctl\n";
  return text;
}

}  // namespace dotterellug
