#include "document/sections/section.h"

namespace dotterellug {

auto NameOf(Section section) -> std::string_view {
  switch (section) {
    case Section::kAccounts:
      return "accounts";
    case Section::kModels:
      return "models";
    case Section::kZones:
      return "zones";
    case Section::kLimits:
      return "limits";
    case Section::kUpstreams:
      return "upstreams";
  }
  return "accounts";
}

auto FindSection(std::string_view name) -> std::optional<Section> {
  for (const auto section : kAllSections) {
    if (NameOf(section) == name) return section;
  }
  return std::nullopt;
}

}  // namespace dotterellug
