#include "daemon/traffic/admission_gate.h"

#include <algorithm>

namespace dotterellug {
namespace {

// Room can appear without a notification, when another daemon's work ends.
constexpr auto kLookAgain = std::chrono::milliseconds(10);

}  // namespace

auto AdmissionGate::QueueOf(const ModelId& model) -> AdmissionQueue& {
  const auto found = queues_.find(model);
  if (found != queues_.end()) return found->second;
  return queues_.emplace(model, AdmissionQueue(options_)).first->second;
}

auto AdmissionGate::Deliver(const std::vector<Refusal>& refusals) -> void {
  for (const auto& refusal : refusals) decided_[refusal.id] = refusal;
}

auto AdmissionGate::StartWaiting(AdmissionQueue& queue, Timestamp now,
                                 const std::function<auto()->bool>& has_room)
    -> void {
  if (!has_room()) {
    Deliver(queue.Expire(now));
    return;
  }
  // One request a call: it takes the room only after this lock is released.
  auto started = queue.StartNext(now);
  Deliver(started.expired);
  if (started.request) decided_[started.request->id] = Admitted{};
}

auto AdmissionGate::Wait(const ModelId& model, const QueuedRequest& request,
                         const std::function<auto()->bool>& has_room,
                         const std::function<auto()->bool>& caller_gone)
    -> GateOutcome {
  std::unique_lock lock(mutex_);
  auto& queue = QueueOf(model);
  const auto enqueued = queue.Enqueue(request, MonotonicNow());
  Deliver(enqueued.shed);
  if (!enqueued.shed.empty()) changed_.notify_all();
  if (!enqueued.outcome) return enqueued.outcome.error();
  while (true) {
    StartWaiting(queue, MonotonicNow(), has_room);
    const auto decided = decided_.find(request.id);
    if (decided != decided_.end()) {
      auto outcome = decided->second;
      decided_.erase(decided);
      if (!decided_.empty()) changed_.notify_all();
      return outcome;
    }
    if (!decided_.empty()) changed_.notify_all();
    changed_.wait_for(lock, kLookAgain);
    if (decided_.count(request.id) > 0) continue;
    if (caller_gone()) {
      queue.Cancel(*enqueued.outcome);
      return CallerGone{};
    }
  }
}

auto AdmissionGate::Waiting(PriorityClass priority) const -> std::size_t {
  const std::lock_guard lock(mutex_);
  std::size_t waiting = 0;
  for (const auto& [model, queue] : queues_) waiting += queue.Waiting(priority);
  return waiting;
}

auto AdmissionGate::OldestAge(PriorityClass priority, Timestamp now) const
    -> Duration {
  const std::lock_guard lock(mutex_);
  Duration oldest{0};
  for (const auto& [model, queue] : queues_) {
    oldest = std::max(oldest, queue.OldestAge(priority, now));
  }
  return oldest;
}

}  // namespace dotterellug
