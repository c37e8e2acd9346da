#include "routing/policy/candidates.h"

#include <algorithm>

namespace dotterellug {

auto Candidates::Excluded(std::uint32_t position) const -> bool {
  if (excluded_.empty()) return false;
  return std::find(excluded_.begin(), excluded_.end(), Entry(position).id) !=
         excluded_.end();
}

auto Candidates::Eligible(std::uint32_t position) const -> bool {
  return Entry(position).load->HasCapacity() && !Excluded(position);
}

auto Candidates::DrawEligible(Random& random) const
    -> std::optional<std::uint32_t> {
  constexpr int kMaxRandomDraws = 4;
  for (int i = 0; i < kMaxRandomDraws; ++i) {
    const auto position = Position(random.Below(Size()));
    if (Eligible(position)) return position;
  }
  return NextEligible(random.Next());
}

auto Candidates::NextEligible(std::uint64_t start) const
    -> std::optional<std::uint32_t> {
  const auto first = start % Size();
  for (std::size_t i = 0; i < Size(); ++i) {
    const auto position = Position((first + i) % Size());
    if (Eligible(position)) return position;
  }
  return std::nullopt;
}

auto Candidates::NoneEligibleReason() const -> NoUpstreamReason {
  for (const auto position : list_) {
    if (!Excluded(position)) return NoUpstreamReason::kConcurrencyLimitReached;
  }
  return NoUpstreamReason::kAllExcluded;
}

}  // namespace dotterellug
