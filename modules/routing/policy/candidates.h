#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/errors/error.h"
#include "routing/policy/router.h"
#include "routing/table/routing_table.h"

namespace dotterellug {

// The upstreams that one routing decision may select from. A candidate is
// eligible if the request does not exclude it and this daemon has not reached
// its concurrency limit there. Refers to the table, the list and the excluded
// ids, which must outlive it. Used by the policies only.
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
  // Returns a random eligible position, or nullopt if there is none. Scans the
  // list only if a few random draws fail.
  auto DrawEligible(Random& random) const -> std::optional<std::uint32_t>;
  // Returns the first eligible position, starting at index `start` modulo the
  // size of the list and wrapping around, or nullopt if there is none.
  auto NextEligible(std::uint64_t start) const -> std::optional<std::uint32_t>;
  // Returns why none of the candidates is eligible; call it only in that case.
  auto NoneEligibleReason() const -> NoUpstreamReason;

 private:
  auto Excluded(std::uint32_t position) const -> bool;

  const RoutingTable& table_;
  const CandidateList& list_;
  const std::vector<UpstreamId>& excluded_;
};

}  // namespace dotterellug
