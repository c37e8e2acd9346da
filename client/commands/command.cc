#include "client/commands/command.h"

namespace dotterellug {

auto ReportError(const Invocation& invocation, const Error& error,
                 ExitCode code) -> ExitCode {
  invocation.err << "error: " << error.Text() << "\n";
  return code;
}

}  // namespace dotterellug
