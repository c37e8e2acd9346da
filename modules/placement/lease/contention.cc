#include "placement/lease/contention.h"

#include <algorithm>

namespace dotterellug {
namespace {

// Three reports of a daemon to its hub without an answer.
constexpr Duration kBaseDelay = std::chrono::milliseconds(450);
// A read and a write of the lease on a slow day.
constexpr Duration kDelayStep = std::chrono::milliseconds(100);
// Daemons with a time of their own; those behind them add as many steps.
constexpr std::int64_t kPreferredContenders = 6;
constexpr std::string_view kRendezvousKey = "order-lease";

}  // namespace

auto ContentionWait(const InstanceId& self,
                    const std::map<InstanceId, double>& capacities)
    -> std::optional<Duration> {
  const auto own = capacities.find(self);
  if (own == capacities.end()) return std::nullopt;
  const auto own_rendezvous_weight =
      RendezvousWeight(kRendezvousKey, self.Value());
  auto rank = static_cast<std::int64_t>(std::count_if(
      capacities.begin(), capacities.end(), [&](const auto& member) {
        if (member.second != own->second) return member.second > own->second;
        return RendezvousWeight(kRendezvousKey, member.first.Value()) >
               own_rendezvous_weight;
      }));
  if (rank >= kPreferredContenders) rank += kPreferredContenders;
  return kBaseDelay + kDelayStep * rank;
}

}  // namespace dotterellug
