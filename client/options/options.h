#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "client/output/table.h"
#include "core/time/time.h"

namespace dotterellug {

// The values of all flags. A command reads only those that it lists.
struct Options {
  OutputFormat output = OutputFormat::kTable;
  bool dry_run = false;
  bool settings = false;
  bool budgets = false;
  std::string account;
  std::string digest_key_file;
  std::string key_file;
  // Address of the object API, as text.
  std::string object_api;
  std::string author;
  std::string reason;
  std::string edit_id;
  // Admin addresses of daemons, separated by commas.
  std::string daemons;
  // Revision number; -1 when not given.
  std::int64_t revision = -1;
  std::int64_t base = -1;
  std::int64_t limit = 20;
  Duration timeout = std::chrono::seconds(30);
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
