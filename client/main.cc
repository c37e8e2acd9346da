#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "client/commands/run_command.h"

DECLARE_bool(help);

namespace GFLAGS_NAMESPACE {
// gflags calls this after it has reported a wrong flag, with 1; our exit code
// for a wrong command line is 2.
extern GFLAGS_DLL_DECL void (*gflags_exitfunc)(int);
}  // namespace GFLAGS_NAMESPACE

namespace {

auto ExitAfterWrongFlag(int /*code*/) -> void {
  std::exit(static_cast<int>(dotterellug::ExitCode::kUsage));
}

}  // namespace

auto main(int argc, char** argv) -> int {
  GFLAGS_NAMESPACE::gflags_exitfunc = ExitAfterWrongFlag;
  gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
  const std::vector<std::string> words(argv + 1, argv + argc);
  const auto code = dotterellug::RunCommand(
      words, FLAGS_help, std::cout, std::cerr, dotterellug::HttpOutside());
  return static_cast<int>(code);
}
