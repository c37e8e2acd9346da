#pragma once

#include <string>
#include <vector>

#include "client/commands/command.h"

namespace dotterellug {

// Runs the command that `words` name with the flags that were parsed before.
// `help` asks for the help page instead.
auto RunCommand(const std::vector<std::string>& words, bool help,
                std::ostream& out, std::ostream& err, const Outside& outside)
    -> ExitCode;

// The object API and daemons that the options name, over HTTP.
auto HttpOutside() -> Outside;

}  // namespace dotterellug
