#pragma once

#include <string>
#include <vector>

#include "client/commands/command.h"

namespace dotterellug {

// All commands in the order of the help page.
auto AllCommands() -> const std::vector<Command>&;

// The command that the first one or two of `words` name, or nullptr.
auto FindCommand(const std::vector<std::string>& words) -> const Command*;

// The page that lists all commands, and the page of one command.
auto OverviewHelp() -> std::string;
auto CommandHelp(const Command& command) -> std::string;

// A bash completion script for all commands and their flags.
auto BashCompletion() -> std::string;

}  // namespace dotterellug
