#include "settings/table/setting_table.h"

#include <utility>

#include "settings/model/daemon_settings.h"
#include "settings/table/setting_fields.h"
#include "yaml/rules/quantities.h"

namespace dotterellug {

namespace {

template <typename Rule>
auto DefaultText(const Rule& /*rule*/, const std::string& value)
    -> std::string {
  return value;
}

auto DefaultText(const IntegerRule& /*rule*/, std::int64_t value)
    -> std::string {
  return std::to_string(value);
}

auto DefaultText(const BytesRule& /*rule*/, Bytes value) -> std::string {
  return FormatBytes(value);
}

auto DefaultText(const DurationRule& /*rule*/, Duration value) -> std::string {
  return FormatDuration(value);
}

template <typename Choice>
auto DefaultText(const ChoiceRule<Choice>& rule, Choice value) -> std::string {
  for (const auto& [name, choice] : rule.choices) {
    if (choice == value) return std::string(name);
  }
  return "";
}

// Collects descriptions; its fields hold their default values.
class DescribingVisitor {
 public:
  DescribingVisitor(std::string prefix,
                    std::vector<SettingDescription>& descriptions)
      : prefix_(std::move(prefix)), descriptions_(descriptions) {}

  template <typename Rule, typename Field>
  auto Required(const char* key, const Rule& rule, const Field& /*field*/,
                const char* meaning) -> void {
    descriptions_.push_back(
        {prefix_ + key, rule.Describe(), "", true, meaning});
  }

  template <typename Rule, typename Field>
  auto Optional(const char* key, const Rule& rule, const Field& field,
                const char* meaning) -> void {
    descriptions_.push_back({prefix_ + key, rule.Describe(),
                             DefaultText(rule, field), false, meaning});
  }

  template <typename Rule, typename Field>
  auto List(const char* key, const Rule& rule, const Field& /*field*/,
            const char* meaning) -> void {
    descriptions_.push_back(
        {prefix_ + key, "a list of: " + rule.Describe(), "", false, meaning});
  }

  template <typename VisitGroup>
  auto Group(const char* key, const VisitGroup& visit) -> void {
    DescribingVisitor group(prefix_ + key + ".", descriptions_);
    visit(group);
  }

 private:
  std::string prefix_;
  std::vector<SettingDescription>& descriptions_;
};

}  // namespace

auto DescribeSettings() -> std::vector<SettingDescription> {
  std::vector<SettingDescription> descriptions;
  DaemonSettings defaults;
  DescribingVisitor visitor("", descriptions);
  VisitSettings(visitor, defaults);
  return descriptions;
}

auto SettingsMarkdown() -> std::string {
  std::string text = "| key | value | default | meaning |\n|---|---|---|---|\n";
  for (const auto& setting : DescribeSettings()) {
    std::string default_text = "-";
    if (setting.required) default_text = "required";
    if (!setting.default_value.empty()) {
      default_text = "`" + setting.default_value + "`";
    }
    text += "| `" + setting.key + "` | " + setting.accepts + " | " +
            default_text + " | " + setting.meaning + " |\n";
  }
  return text;
}

}  // namespace dotterellug
