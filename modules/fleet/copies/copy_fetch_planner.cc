#include "fleet/copies/copy_fetch_planner.h"

#include <algorithm>

namespace dotterellug::fleet {
namespace {

// Every so many fetches without a result, a daemon of any zone is asked: all of
// the own zone may be cut off as well.
constexpr std::int64_t kFetchesPerRemoteOne = 2;

}  // namespace

auto CopyFetchPlanner::SetMembers(const std::vector<RegisteredDaemon>& members)
    -> void {
  in_zone_.clear();
  all_.clear();
  for (const auto& member : members) {
    if (member.id == self_) continue;
    all_.push_back(member.id);
    if (member.zone == zone_) in_zone_.push_back(member.id);
  }
}

auto CopyFetchPlanner::Choose(std::int64_t vain) -> std::optional<InstanceId> {
  const bool remote = in_zone_.empty() ||
                      vain % kFetchesPerRemoteOne == kFetchesPerRemoteOne - 1;
  const auto& candidates = remote ? all_ : in_zone_;
  if (candidates.empty()) return std::nullopt;
  return candidates[random_.Below(candidates.size())];
}

auto CopyFetchPlanner::Next(std::size_t list,
                            std::optional<Timestamp> behind_since,
                            Timestamp now) -> std::optional<InstanceId> {
  auto& fetch = fetches_[list];
  if (!behind_since) {
    fetch.vain = 0;
    return std::nullopt;
  }
  const bool early = now - *behind_since < options_.patience;
  if (fetch.under_way || early || now < fetch.not_before) return std::nullopt;
  const auto daemon = Choose(fetch.vain);
  fetch.under_way = daemon.has_value();
  return daemon;
}

auto CopyFetchPlanner::OnEnded(std::size_t list, bool newer, Timestamp now)
    -> void {
  auto& fetch = fetches_[list];
  fetch.under_way = false;
  if (newer) {
    fetch.vain = 0;
    fetch.not_before = now;
    return;
  }
  auto pause = options_.first_pause;
  for (std::int64_t i = 0; i < fetch.vain && pause < options_.longest_pause;
       ++i) {
    pause *= 2;
  }
  ++fetch.vain;
  fetch.not_before = now + std::min(pause, options_.longest_pause);
}

}  // namespace dotterellug::fleet
