#pragma once

#include <string>
#include <vector>

namespace dotterellug {

// One setting as the reference page shows it.
struct SettingDescription {
  // Keys from the top joined by dots, such as "listen.callers".
  std::string key;
  std::string accepts;
  // Empty when there is no default.
  std::string default_value;
  bool required = false;
  std::string meaning;
};

// All settings in the order of the settings file.
auto DescribeSettings() -> std::vector<SettingDescription>;

// The table as Markdown, for docs/operations/settings.md.
auto SettingsMarkdown() -> std::string;

}  // namespace dotterellug
