#pragma once

#include <vector>

#include "client/commands/command.h"
#include "document/diff/document_diff.h"

namespace dotterellug {

// Prints differences, one a line or as a list for programs.
auto WriteDifferences(const Invocation& invocation,
                      const std::vector<Difference>& differences) -> void;

// Commands that work on files only: validate, diff, key generate, settings.
auto FileCommands() -> std::vector<Command>;

}  // namespace dotterellug
