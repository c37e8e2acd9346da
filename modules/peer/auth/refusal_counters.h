#pragma once

#include <array>
#include <atomic>
#include <cstdint>

#include "peer/auth/freshness_guard.h"

namespace dotterellug {

// Messages accepted and refused, by reason. Thread-safe.
class RefusalCounters {
 public:
  auto Count(PeerRefusal refusal) -> void { ++counts_[Index(refusal)]; }
  // Messages refused for that reason; for kNone, messages accepted.
  auto Of(PeerRefusal refusal) const -> std::int64_t {
    return counts_[Index(refusal)];
  }

 private:
  static auto Index(PeerRefusal refusal) -> std::size_t {
    return static_cast<std::size_t>(refusal);
  }

  std::array<std::atomic<std::int64_t>, kRefusalCount> counts_{};
};

}  // namespace dotterellug
