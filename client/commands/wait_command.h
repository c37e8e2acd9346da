#pragma once

#include "client/commands/command.h"

namespace dotterellug {

// Waits until daemons have a revision in force.
auto WaitCommand() -> Command;

}  // namespace dotterellug
