#pragma once

#include "client/commands/command.h"

namespace dotterellug {

// Tells from collected logs what became of a request.
auto ExplainCommand() -> Command;

}  // namespace dotterellug
