#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/errors/error.h"
#include "routing/policy/router.h"
#include "routing/table/routing_table.h"

namespace dotterellug {

// The candidates of one decision with the filters that hold at its moment: not
// excluded by the request, and with room in its allowance. Valid as long as the
// table. Used by the policies only.
class Candidates {
 public:
  Candidates(const RoutingTable& table, const CandidateList& list,
             const std::vector<UpstreamId>& excluded)
      : table_(table), list_(list), excluded_(excluded) {}

  auto Size() const -> std::size_t { return list_.size(); }
  auto Position(std::size_t index) const -> std::uint32_t {
    return list_[index];
  }
  auto Entry(std::uint32_t position) const -> const RoutingEntry& {
    return table_.Entries()[position];
  }
  auto Eligible(std::uint32_t position) const -> bool;
  // A random eligible position; nothing when there is none. Scans the list only
  // when a few random draws fail.
  auto DrawEligible(Random& random) const -> std::optional<std::uint32_t>;
  // The first eligible position from index `start` on, cyclically.
  auto NextEligible(std::uint64_t start) const -> std::optional<std::uint32_t>;
  // Why no position is eligible.
  auto IneligibleReason() const -> NoUpstreamReason;

 private:
  auto Excluded(std::uint32_t position) const -> bool;

  const RoutingTable& table_;
  const CandidateList& list_;
  const std::vector<UpstreamId>& excluded_;
};

}  // namespace dotterellug
