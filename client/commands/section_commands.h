#pragma once

#include <vector>

#include "client/commands/command.h"

namespace dotterellug {

// Commands that read and change sections of the deployed document.
auto SectionCommands() -> std::vector<Command>;

}  // namespace dotterellug
