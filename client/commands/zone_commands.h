#pragma once

#include <vector>

#include "client/commands/command.h"

namespace dotterellug {

// Commands that take availability zones out and in.
auto ZoneCommands() -> std::vector<Command>;

}  // namespace dotterellug
