#include "placement/lease/contention.h"

#include <algorithm>

namespace dotterellug {
namespace {

// Time of three reports of a daemon to its hub without an answer. The hub is
// the daemon that aggregates the reports of the others.
constexpr Duration kBaseDelay = std::chrono::milliseconds(450);
// Time of a slow read and write of the lease.
constexpr Duration kDelayStep = std::chrono::milliseconds(100);
// Number of highest-ranked daemons, which contend first. A gap of as many steps
// follows before the next one.
constexpr std::int64_t kPreferredContenders = 6;
// Rendezvous hashing with this key ranks daemons of equal capacity.
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
