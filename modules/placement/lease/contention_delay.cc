#include "placement/lease/contention_delay.h"

#include <algorithm>

namespace dotterellug {
namespace {

// Delay of the highest-ranked daemon. It covers three unanswered reports to the
// hub, the daemon that aggregates the reports of the others.
constexpr Duration kBaseDelay = std::chrono::milliseconds(450);
// Delay between consecutive ranks; covers a slow read and write of the lease.
constexpr Duration kDelayStep = std::chrono::milliseconds(100);
// Daemons that contend first. Those of lower rank wait this many steps more.
constexpr std::int64_t kPreferredContenders = 6;
// Rendezvous hashing with this key ranks daemons of equal capacity.
constexpr std::string_view kRendezvousKey = "order-lease";

}  // namespace

auto ContentionDelay(const InstanceId& self,
                     const std::map<InstanceId, double>& cpu_cores)
    -> std::optional<Duration> {
  const auto own = cpu_cores.find(self);
  if (own == cpu_cores.end()) return std::nullopt;
  const auto own_rendezvous_weight =
      RendezvousWeight(kRendezvousKey, self.Value());
  auto rank = static_cast<std::int64_t>(std::count_if(
      cpu_cores.begin(), cpu_cores.end(), [&](const auto& member) {
        if (member.second != own->second) return member.second > own->second;
        return RendezvousWeight(kRendezvousKey, member.first.Value()) >
               own_rendezvous_weight;
      }));
  if (rank >= kPreferredContenders) rank += kPreferredContenders;
  return kBaseDelay + kDelayStep * rank;
}

}  // namespace dotterellug
