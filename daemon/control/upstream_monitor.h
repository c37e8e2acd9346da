#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include "core/core.h"
#include "daemon/state/published.h"
#include "document/document.h"
#include "placement/placement.h"
#include "routing/routing.h"
#include "upstream/upstream.h"

namespace dotterellug {

// What one poll of an upstream showed.
struct UpstreamObservation {
  UpstreamId upstream;
  bool reachable = false;
  // Grows when the engine restarts or turns cold.
  Incarnation incarnation;
  // What the upstream says about itself, if it does.
  std::optional<bool> cold;
  // Responses since its start, if it counts them.
  std::optional<std::int64_t> completed;
  LoadReport load;
  std::vector<ModelId> models;
  std::vector<AdapterId> adapters;
  // Models and adapters with their versions and sizes, for placement.
  std::vector<ResidentItem> resident;
  // Time of the question, and that less the age which the report states.
  Timestamp asked_at;
  Timestamp sampled_at;
};

// Asks the upstreams of the document for their load reports on threads of its
// own, so that a silent upstream delays neither control nor traffic, and hands
// each observation to a function, which must be thread-safe.
class UpstreamMonitor {
 public:
  using Observe = std::function<auto(UpstreamObservation)->void>;

  UpstreamMonitor(Observe observe, Duration interval);
  UpstreamMonitor(const UpstreamMonitor&) = delete;
  auto operator=(const UpstreamMonitor&) -> UpstreamMonitor& = delete;
  ~UpstreamMonitor();

  // The upstreams to ask from now on.
  auto SetDocument(const SharedSnapshot& snapshot) -> void;

 private:
  static constexpr std::size_t kThreads = 4;

  auto Run(std::size_t thread) -> void;
  auto Poll(UpstreamExchange& exchange, const Upstream& upstream)
      -> UpstreamObservation;

  Observe observe_;
  Duration interval_;
  Published<ServingSnapshot> snapshot_;
  std::atomic<bool> stopping_{false};
  std::atomic<std::uint64_t> polls_{0};
  std::vector<std::thread> threads_;
};

}  // namespace dotterellug
