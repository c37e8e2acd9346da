#pragma once

#include <vector>

#include "client/commands/command.h"

namespace dotterellug {

// Commands that issue, rotate and revoke caller keys of a deployment.
auto KeyCommands() -> std::vector<Command>;

}  // namespace dotterellug
