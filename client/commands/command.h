#pragma once

#include <functional>
#include <ostream>
#include <string>
#include <vector>

#include "client/options/options.h"
#include "client/platform/deployment.h"
#include "core/errors/error.h"
#include "core/net/socket_address.h"

namespace dotterellug {

enum class ExitCode {
  kDone = 0,
  kFailed = 1,  // the operation failed or found faults
  kUsage = 2,   // wrong command line or unreadable files
};

// Opens the deployment that the options name.
using OpenDeployment = std::function<Result<Deployment>(const Options&)>;

// Fetches a path from a daemon's admin endpoint.
using FetchStatus =
    std::function<Result<std::string>(const SocketAddress&, Duration)>;

// What commands reach outside of the process; tests pass their own.
struct Outside {
  OpenDeployment open_deployment;
  FetchStatus fetch_status;
  std::function<void(Duration)> pause;
};

// One call of a command. Results go to `out`, failures and progress to `err`,
// so that `out` can be passed on to another program.
struct Invocation {
  Options options;
  std::vector<std::string> arguments;
  std::ostream& out;
  std::ostream& err;
  Outside outside;
};

using CommandFunction = ExitCode (*)(const Invocation& invocation);

// A subcommand as the command table lists it.
struct Command {
  // One or two words, such as "section get".
  std::string name;
  // Such as "FILE...".
  std::string arguments;
  std::string summary;
  // Further paragraphs of the help page.
  std::string details;
  // Flags that it reads besides --output and --help.
  std::vector<std::string> flags;
  std::size_t min_arguments = 0;
  std::size_t max_arguments = 0;
  CommandFunction run = nullptr;
};

// Prints message and remedy and returns `code`.
auto ReportError(const Invocation& invocation, const Error& error,
                 ExitCode code) -> ExitCode;

}  // namespace dotterellug
