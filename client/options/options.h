#pragma once

#include <string>
#include <vector>

#include "client/output/table.h"

namespace dotterellug {

// The values of all flags. A command reads only those that it lists.
struct Options {
  OutputFormat output = OutputFormat::kTable;
  bool dry_run = false;
  bool settings = false;
  std::string account;
  std::string digest_key_file;
};

// Reads the gflags of the command line. Wrong values are reported on standard
// error and end the program with exit code 2.
auto ReadOptions() -> Options;

// The flag as users write it; gflags accepts "-" for "_".
auto FlagText(std::string flag) -> std::string;

// "--account string  meaning (default ...)" for help pages.
auto FlagHelp(const std::string& flag) -> std::string;

// Flags that were set although `used` does not contain them.
auto UnusedFlags(const std::vector<std::string>& used)
    -> std::vector<std::string>;

}  // namespace dotterellug
