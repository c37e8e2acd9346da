#include "document/sections/section_rules.h"

#include <algorithm>

namespace dotterellug {

namespace {

auto IsKeyIdCharacter(char character) -> bool {
  return (character >= '0' && character <= '9') ||
         (character >= 'a' && character <= 'z');
}

}  // namespace

auto KeyIdRule::Parse(const YamlNode& node) const -> Result<std::string> {
  const auto text = RequireScalar(node, Describe());
  if (!text) return tl::unexpected<Error>(text.error());
  if (text->empty() || text->size() > kMaxKeyIdLength ||
      !std::all_of(text->begin(), text->end(), IsKeyIdCharacter)) {
    return Fail(ErrorKind::kInvalidArgument, "not a valid key id",
                "write " + Describe());
  }
  return std::string(*text);
}

auto KeyIdRule::Describe() const -> std::string {
  return "1 to " + std::to_string(kMaxKeyIdLength) +
         " lower-case letters or digits";
}

auto PriorityClassRule() -> const ChoiceRule<PriorityClass>& {
  static const ChoiceRule<PriorityClass> rule{
      {{"interactive", PriorityClass::kInteractive},
       {"standard", PriorityClass::kStandard},
       {"batch", PriorityClass::kBatch}}};
  return rule;
}

auto UpstreamKindRule() -> const ChoiceRule<UpstreamKind>& {
  static const ChoiceRule<UpstreamKind> rule{
      {{"engine", UpstreamKind::kEngine}, {"service", UpstreamKind::kService}}};
  return rule;
}

auto MethodRule() -> const ChoiceRule<std::string>& {
  static const ChoiceRule<std::string> rule{{{"GET", "GET"},
                                             {"HEAD", "HEAD"},
                                             {"OPTIONS", "OPTIONS"},
                                             {"PUT", "PUT"},
                                             {"DELETE", "DELETE"},
                                             {"POST", "POST"},
                                             {"PATCH", "PATCH"}}};
  return rule;
}

auto PriorityClassName(PriorityClass priority) -> std::string_view {
  for (const auto& [name, choice] : PriorityClassRule().choices) {
    if (choice == priority) return name;
  }
  return "standard";
}

auto UpstreamKindName(UpstreamKind kind) -> std::string_view {
  for (const auto& [name, choice] : UpstreamKindRule().choices) {
    if (choice == kind) return name;
  }
  return "engine";
}

}  // namespace dotterellug
