#include "client/commands/run_command.h"

#include <algorithm>

#include "client/commands/command_table.h"

namespace dotterellug {

namespace {

auto WordCount(const Command& command) -> std::ptrdiff_t {
  return command.name.find(' ') == std::string::npos ? 1 : 2;
}

// The first flag that the command does not read, or an empty text.
auto FirstUnusedFlag(const Command& command) -> std::string {
  auto used = command.flags;
  used.emplace_back("output");
  const auto unused = UnusedFlags(used);
  return unused.empty() ? "" : unused.front();
}

}  // namespace

auto RunCommand(const std::vector<std::string>& words, bool help,
                std::ostream& out, std::ostream& err) -> ExitCode {
  const auto* command = FindCommand(words);
  if (command == nullptr) {
    if (help) {
      out << OverviewHelp();
      return ExitCode::kDone;
    }
    if (!words.empty()) {
      err << "error: no command \"" << words.front()
          << (words.size() > 1 ? " " + words[1] : "") << "\"\n\n";
    }
    err << OverviewHelp();
    return ExitCode::kUsage;
  }
  if (help) {
    out << CommandHelp(*command);
    return ExitCode::kDone;
  }
  Invocation invocation{ReadOptions(), {}, out, err};
  invocation.arguments.assign(words.begin() + WordCount(*command), words.end());
  const auto count = invocation.arguments.size();
  if (count < command->min_arguments || count > command->max_arguments) {
    err << "error: wrong number of arguments\n\n" << CommandHelp(*command);
    return ExitCode::kUsage;
  }
  const auto unused = FirstUnusedFlag(*command);
  if (!unused.empty()) {
    err << "error: " << command->name << " has no flag " << FlagText(unused)
        << "\n\n"
        << CommandHelp(*command);
    return ExitCode::kUsage;
  }
  return command->run(invocation);
}

}  // namespace dotterellug
