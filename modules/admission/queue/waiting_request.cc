#include "admission/queue/waiting_request.h"

#include <algorithm>

namespace dotterellug {
namespace {

// Part of the caller's patience after which a waiting request is refused.
// Requests that would wait in vain are refused on arrival.
constexpr double kWaitPart = 0.6;
// Part of the latency target, without the usual time to the first event, for
// which a request may wait at an upstream; it may wait for the rest in the
// queue, where more urgent ones can go before it.
constexpr double kUpstreamWaitPart = 0.5;
// Requests wait at an upstream for no longer than this. A daemon learns within
// one or two reports of 150 ms that other daemons' requests have ended, and
// slots stay busy meanwhile.
constexpr auto kLongestUpstreamWait = std::chrono::milliseconds(400);
// The same for requests that are late: they take capacity that is left over.
constexpr auto kLateUpstreamWait = std::chrono::milliseconds(100);
// Least part of the latency target that is taken to be left for waiting: the
// usual time to the first event is not known well enough to call all requests
// late.
constexpr double kLeastSlackPart = 0.25;

auto Part(Duration whole, double part) -> Duration {
  return FromSeconds(ToSeconds(whole) * part);
}

}  // namespace

auto WaitingRequest::AllowedUpstreamWait(Timestamp now) const -> Duration {
  if (Late(now)) return std::min<Duration>(upstream_wait, kLateUpstreamWait);
  return std::min<Duration>(latest_start - now, upstream_wait);
}

auto MakeWaitingRequest(const WaitFacts& facts) -> WaitingRequest {
  WaitingRequest request;
  request.arrival = facts.arrival;
  request.work = facts.work;
  const auto slack = std::max(facts.latency_target - facts.first_event,
                              Part(facts.latency_target, kLeastSlackPart));
  request.latest_start = facts.arrival + slack;
  request.upstream_wait =
      std::min<Duration>(Part(slack, kUpstreamWaitPart), kLongestUpstreamWait);
  request.give_up =
      std::min<Timestamp>(facts.arrival + Part(facts.patience, kWaitPart),
                          facts.deadline - facts.work);
  return request;
}

}  // namespace dotterellug
