#pragma once

#include <string>
#include <vector>

#include "client/commands/command.h"

namespace dotterellug {

// Runs the command that `words` name with the flags that were parsed before.
// `help` asks for the help page instead.
auto RunCommand(const std::vector<std::string>& words, bool help,
                std::ostream& out, std::ostream& err) -> ExitCode;

}  // namespace dotterellug
