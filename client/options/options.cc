#include "client/options/options.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>

DEFINE_string(output, "table", "form of the output: table, json or yaml");
DEFINE_bool(dry_run, false, "print what would change and change nothing");
DEFINE_bool(settings, false, "the files are daemon settings");
DEFINE_bool(budgets, false,
            "show share and available tokens of each budget as well");
DEFINE_string(account, "", "client account");
DEFINE_string(digest_key_file, "",
              "file with the deployment's digest key, 64 hexadecimal digits");
DEFINE_string(key_file, "",
              "file for the new key's text, readable for its owner only");
DEFINE_string(object_api, "",
              "address of the object API such as 127.0.0.1:20001; default from "
              "the environment variable DOTTERELLUG_OBJECT_API");
DEFINE_string(author, "",
              "author in the history; default from the environment variable "
              "USER");
DEFINE_string(reason, "", "reason in the history; default is the command");
DEFINE_string(edit_id, "",
              "name of the edit; pass that of an attempt with unknown outcome "
              "to repeat it");
DEFINE_string(daemons, "",
              "admin addresses of the daemons, separated by commas");
DEFINE_int64(revision, -1, "revision number; default is the latest");
DEFINE_int64(base, -1,
             "revision on which the change was made; default from the first "
             "line of the file");
DEFINE_int64(limit, 20, "number of revisions to show");
DEFINE_int64(timeout, 30, "seconds after which the command gives up");

namespace dotterellug {

namespace {

constexpr std::int64_t kLongestTimeout = 86'400;

auto EnvironmentOr(const std::string& value, const char* variable)
    -> std::string {
  if (!value.empty()) return value;
  const auto* text = std::getenv(variable);
  return text == nullptr ? "" : text;
}

auto ValidateOutput(const char* /*flag*/, const std::string& value) -> bool {
  if (FindOutputFormat(value)) return true;
  std::cerr << "--output is \"" << value << "\"; write table, json or yaml\n";
  return false;
}

DEFINE_validator(output, &ValidateOutput);

auto ValidateTimeout(const char* /*flag*/, std::int64_t value) -> bool {
  if (value >= 0 && value <= kLongestTimeout) return true;
  std::cerr << "--timeout is " << value << "; write seconds from 0 to "
            << kLongestTimeout << "\n";
  return false;
}

DEFINE_validator(timeout, &ValidateTimeout);

}  // namespace

auto ReadOptions() -> Options {
  Options options;
  options.output =
      FindOutputFormat(FLAGS_output).value_or(OutputFormat::kTable);
  options.dry_run = FLAGS_dry_run;
  options.settings = FLAGS_settings;
  options.budgets = FLAGS_budgets;
  options.account = FLAGS_account;
  options.digest_key_file = FLAGS_digest_key_file;
  options.key_file = FLAGS_key_file;
  options.object_api =
      EnvironmentOr(FLAGS_object_api, "DOTTERELLUG_OBJECT_API");
  options.author = EnvironmentOr(FLAGS_author, "USER");
  options.reason = FLAGS_reason;
  options.edit_id = FLAGS_edit_id;
  options.daemons = FLAGS_daemons;
  options.revision = FLAGS_revision;
  options.base = FLAGS_base;
  options.limit = FLAGS_limit;
  options.timeout = std::chrono::seconds(FLAGS_timeout);
  return options;
}

auto FlagText(std::string flag) -> std::string {
  std::replace(flag.begin(), flag.end(), '_', '-');
  return "--" + flag;
}

auto FlagHelp(const std::string& flag) -> std::string {
  gflags::CommandLineFlagInfo info;
  if (!gflags::GetCommandLineFlagInfo(flag.c_str(), &info)) return "";
  std::string text = FlagText(flag);
  if (info.type != "bool") text += " " + info.type;
  text += "  " + info.description;
  if (!info.default_value.empty() && info.type != "bool") {
    text += " (default " + info.default_value + ")";
  }
  return text;
}

auto UnusedFlags(const std::vector<std::string>& used)
    -> std::vector<std::string> {
  std::vector<gflags::CommandLineFlagInfo> all;
  gflags::GetAllFlags(&all);
  std::vector<std::string> unused;
  for (const auto& info : all) {
    const bool ours = info.filename == __FILE__;
    if (!ours || info.is_default) continue;
    if (std::find(used.begin(), used.end(), info.name) != used.end()) continue;
    unused.push_back(info.name);
  }
  return unused;
}

}  // namespace dotterellug
