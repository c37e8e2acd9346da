#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <unordered_map>

#include "admission/admission.h"
#include "core/core.h"

namespace dotterellug {

// How a request's wait for capacity ended.
struct Admitted {};
struct CallerGone {};
using GateOutcome = std::variant<Admitted, Refusal, CallerGone>;

// The waiting requests of this daemon, one AdmissionQueue for each model, since
// models have capacity on different engines. Used by all traffic threads: each
// waits here with its own request.
class AdmissionGate {
 public:
  explicit AdmissionGate(const AdmissionOptions& options) : options_(options) {}

  // Waits until the request may start. `has_room` tells whether an upstream
  // could take a request of this model now; it is called with the gate locked
  // and must not call the gate.
  auto Wait(const ModelId& model, const QueuedRequest& request,
            const std::function<auto()->bool>& has_room,
            const std::function<auto()->bool>& caller_gone) -> GateOutcome;

  // Lets waiting requests look again, after an upstream got room.
  auto NotifyRoom() -> void { changed_.notify_all(); }

  auto Waiting(PriorityClass priority) const -> std::size_t;
  auto OldestAge(PriorityClass priority, Timestamp now) const -> Duration;

 private:
  auto QueueOf(const ModelId& model) -> AdmissionQueue&;
  auto Deliver(const std::vector<Refusal>& refusals) -> void;
  auto StartWaiting(AdmissionQueue& queue, Timestamp now,
                    const std::function<auto()->bool>& has_room) -> void;

  AdmissionOptions options_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::map<ModelId, AdmissionQueue> queues_;
  // Decisions for requests whose threads have not taken them yet.
  std::unordered_map<RequestId, GateOutcome> decided_;
};

}  // namespace dotterellug
