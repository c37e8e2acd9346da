#pragma once

#include <optional>
#include <string_view>

#include "document/document.h"

namespace dotterellug {

// The class's name in headers and metric labels.
inline auto ClassName(PriorityClass priority) -> std::string_view {
  switch (priority) {
    case PriorityClass::kInteractive:
      return "interactive";
    case PriorityClass::kStandard:
      return "standard";
    case PriorityClass::kBatch:
      return "batch";
  }
  return "standard";
}

// The class that a header names, or nothing.
inline auto ParseClass(std::string_view name) -> std::optional<PriorityClass> {
  for (const auto priority :
       {PriorityClass::kInteractive, PriorityClass::kStandard,
        PriorityClass::kBatch}) {
    if (ClassName(priority) == name) return priority;
  }
  return std::nullopt;
}

}  // namespace dotterellug
