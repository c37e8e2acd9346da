#pragma once

#include "client/commands/command.h"

namespace dotterellug {

// Shows the state of daemons.
auto StatusCommand() -> Command;

}  // namespace dotterellug
