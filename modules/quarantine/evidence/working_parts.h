#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/core.h"

namespace dotterellug::quarantine {

// When upstreams last answered requests with each prompt part, as far as this
// daemon saw. Takes constant memory whatever callers send: of two parts with
// the same slot, the later one is kept.
class WorkingParts {
 public:
  auto Record(const PromptPartId& part, Timestamp now) -> void;
  auto LastWorked(const PromptPartId& part) const -> std::optional<Timestamp>;

 private:
  struct Slot {
    std::uint64_t hash = 0;
    Timestamp worked_at{};
  };

  // Allocated with the first part.
  std::vector<Slot> slots_;
};

}  // namespace dotterellug::quarantine
