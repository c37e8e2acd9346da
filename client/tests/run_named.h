#pragma once

#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "client/commands/command_table.h"

namespace dotterellug {

struct Outcome {
  ExitCode code;
  std::string out;
  std::string err;
};

// Runs a command in this process.
inline auto RunNamed(const std::string& name,
                     std::vector<std::string> arguments, Options options = {},
                     Outside outside = {}) -> Outcome {
  const auto* command = FindCommand(
      {name.substr(0, name.find(' ')), name.substr(name.find(' ') + 1)});
  if (command == nullptr) return {ExitCode::kUsage, "", "no command " + name};
  std::ostringstream out;
  std::ostringstream err;
  const Invocation invocation{std::move(options), std::move(arguments), out,
                              err, std::move(outside)};
  const auto code = command->run(invocation);
  return {code, out.str(), err.str()};
}

inline auto Example(const std::string& name) -> std::string {
  return std::string(DOTTERELLUG_SOURCE_DIR) + "/examples/" + name;
}

}  // namespace dotterellug
