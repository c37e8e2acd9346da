#include "admission/queue/blocked_requests.h"

#include <algorithm>

namespace dotterellug {
namespace {

// Failed searches after which requests of the same key are not tried before the
// next round.
constexpr int kMostTries = 2;

}  // namespace

auto BlockedRequests::Contains(const WaitingRequest& request,
                               Timestamp now) const -> bool {
  const auto urgent = most_urgent_.find(request.kind);
  if (urgent != most_urgent_.end() && urgent->second < request.priority) {
    return true;
  }
  const auto found = tries_.find({request.kind, request.priority});
  if (found == tries_.end()) return false;
  const auto& tries = found->second;
  return tries.count >= kMostTries ||
         request.AllowedUpstreamWait(now) <= tries.longest_allowed;
}

auto BlockedRequests::Add(const WaitingRequest& request, Timestamp now)
    -> void {
  const auto allowed = request.AllowedUpstreamWait(now);
  auto& tries = tries_[{request.kind, request.priority}];
  ++tries.count;
  tries.longest_allowed = std::max(tries.longest_allowed, allowed);
  // What has hardly any time left finds no capacity even while there is some.
  if (request.Late(now) || allowed < request.upstream_wait / 2) return;
  const auto [urgent, added] =
      most_urgent_.try_emplace(request.kind, request.priority);
  if (!added) urgent->second = std::min(urgent->second, request.priority);
}

}  // namespace dotterellug
