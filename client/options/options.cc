#include "client/options/options.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <iostream>

DEFINE_string(output, "table", "form of the output: table, json or yaml");
DEFINE_bool(dry_run, false, "print what would change and change nothing");
DEFINE_bool(settings, false, "the files are daemon settings");
DEFINE_string(account, "", "client account");
DEFINE_string(digest_key_file, "",
              "file with the deployment's digest key, 64 hexadecimal digits");

namespace dotterellug {

namespace {

auto ValidateOutput(const char* /*flag*/, const std::string& value) -> bool {
  if (FindOutputFormat(value)) return true;
  std::cerr << "--output is \"" << value << "\"; write table, json or yaml\n";
  return false;
}

DEFINE_validator(output, &ValidateOutput);

}  // namespace

auto ReadOptions() -> Options {
  Options options;
  options.output =
      FindOutputFormat(FLAGS_output).value_or(OutputFormat::kTable);
  options.dry_run = FLAGS_dry_run;
  options.settings = FLAGS_settings;
  options.account = FLAGS_account;
  options.digest_key_file = FLAGS_digest_key_file;
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
