#pragma once

#include <cstdint>
#include <ostream>
#include <tuple>

#include "core/ids/strong_integer.h"

namespace dotterellug {

// Rises by one each time the platform's store is restored from a backup. 0 is
// a store that states no epoch.
using StoreEpoch = StrongInteger<struct StoreEpochTag>;

// A point in the history of the platform's store. A restore goes back to an
// earlier revision and then uses revisions again, so a revision means something
// only together with its epoch. Positions are compared by epoch, then by
// revision.
struct StorePosition {
  // Bits of a packed position that hold the revision. The epoch has the 23 bits
  // above them.
  static constexpr int kRevisionBits = 40;
  static constexpr std::int64_t kMaxRevision =
      (std::int64_t{1} << kRevisionBits) - 1;
  static constexpr std::int64_t kMaxEpoch = (std::int64_t{1} << 23) - 1;

  constexpr StorePosition() = default;
  // A position in a store that states no epoch. Implicit, since there a
  // revision is a position.
  // NOLINTNEXTLINE(google-explicit-constructor)
  constexpr StorePosition(std::int64_t at) : revision(at) {}
  constexpr StorePosition(StoreEpoch in, std::int64_t at)
      : epoch(in), revision(at) {}

  // One number with the same order, for messages and fencing numbers. At 10,000
  // changes a second the revisions of one epoch suffice for three years.
  constexpr auto Packed() const -> std::int64_t {
    return (epoch.Value() << kRevisionBits) + revision;
  }
  static constexpr auto FromPacked(std::int64_t packed) -> StorePosition {
    if (packed < 0) return {};
    return {StoreEpoch(packed >> kRevisionBits), packed & kMaxRevision};
  }

  friend constexpr auto operator==(StorePosition a, StorePosition b) -> bool {
    return a.epoch == b.epoch && a.revision == b.revision;
  }
  friend constexpr auto operator!=(StorePosition a, StorePosition b) -> bool {
    return !(a == b);
  }
  friend constexpr auto operator<(StorePosition a, StorePosition b) -> bool {
    return std::tie(a.epoch, a.revision) < std::tie(b.epoch, b.revision);
  }
  friend constexpr auto operator<=(StorePosition a, StorePosition b) -> bool {
    return !(b < a);
  }
  friend constexpr auto operator>(StorePosition a, StorePosition b) -> bool {
    return b < a;
  }
  friend constexpr auto operator>=(StorePosition a, StorePosition b) -> bool {
    return !(a < b);
  }
  friend auto operator<<(std::ostream& out, StorePosition position)
      -> std::ostream& {
    return out << position.epoch << ':' << position.revision;
  }

  StoreEpoch epoch;
  std::int64_t revision = 0;
};

}  // namespace dotterellug
