#include "client/commands/run_command.h"

#include <algorithm>
#include <thread>

#include "client/commands/command_table.h"
#include "client/platform/http_get.h"

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

auto Sleep(Duration duration) -> void { std::this_thread::sleep_for(duration); }

auto OpenHttpDeployment(const Options& options) -> Result<Deployment> {
  const auto address = ParseSocketAddress(options.object_api);
  if (!address) {
    return Fail(ErrorKind::kInvalidArgument,
                "the address of the object API is \"" + options.object_api +
                    "\", " + address.error().message,
                "set --object-api or DOTTERELLUG_OBJECT_API to an address such "
                "as 127.0.0.1:20001");
  }
  HttpObjectStoreSettings settings;
  settings.host = address->host;
  settings.port = address->port;
  RetryPolicy retry;
  retry.timeout = options.timeout;
  retry.pause = Sleep;
  return Deployment(ObjectStore(HttpObjectStore(settings)), retry);
}

auto FetchHttpStatus(const SocketAddress& address, Duration timeout)
    -> Result<std::string> {
  return HttpGet(address, "/status", timeout);
}

}  // namespace

auto HttpOutside() -> Outside {
  return Outside{OpenHttpDeployment, FetchHttpStatus, Sleep};
}

auto RunCommand(const std::vector<std::string>& words, bool help,
                std::ostream& out, std::ostream& err, const Outside& outside)
    -> ExitCode {
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
  Invocation invocation{ReadOptions(), {}, out, err, outside};
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
