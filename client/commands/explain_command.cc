#include "client/commands/explain_command.h"

#include <fstream>

#include "client/explain/request_story.h"

namespace dotterellug {
namespace {

constexpr std::size_t kMostFiles = 2000;

auto RunExplain(const Invocation& invocation) -> ExitCode {
  const auto& request = invocation.arguments.front();
  LogCollection logs;
  for (std::size_t i = 1; i < invocation.arguments.size(); ++i) {
    const auto& path = invocation.arguments[i];
    std::ifstream file(path);
    if (!file) {
      return ReportError(
          invocation,
          Error{ErrorKind::kNotFound, "cannot read the log file " + path,
                "check its name and permissions"},
          ExitCode::kUsage);
    }
    ReadLogLines(file, logs);
  }
  const auto story = TellRequestStory(logs, request);
  if (!story) return ReportError(invocation, story.error(), ExitCode::kFailed);
  OutputTable table{{"at_ms", "instance", "event", "details"}, {}};
  for (const auto& entry : story->entries) {
    table.rows.push_back({std::to_string(entry.at_ms), entry.instance,
                          entry.event, entry.details});
  }
  if (invocation.options.output != OutputFormat::kTable) {
    table.rows.push_back({"", "", "cause", story->cause});
    WriteTable(table, invocation.options.output, invocation.out);
    return ExitCode::kDone;
  }
  WriteTable(table, invocation.options.output, invocation.out);
  invocation.out << "\n" << request << ": " << story->cause << "\n";
  return ExitCode::kDone;
}

}  // namespace

auto ExplainCommand() -> Command {
  return {
      "explain",
      "REQUEST-ID FILE...",
      "tell from collected logs what became of a request",
      "The files are the standard output of daemons, one JSON object a line;"
      " text before an object is passed over. Give the logs of all"
      " instances: what explains a failure is often noted by another one."
      " Times are milliseconds after the request's arrival, whatever the"
      " clocks of the instances say. The last line, or the last entry with"
      " the event \"cause\", names the decision or disturbance behind its"
      " end.",
      {},
      2,
      1 + kMostFiles,
      RunExplain};
}

}  // namespace dotterellug
