#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "admission/queue/class_queue.h"
#include "admission/queue/drain_rate.h"
#include "admission/queue/queued_request.h"
#include "admission/queue/refusal.h"
#include "tl/expected.hpp"

namespace dotterellug {

struct AdmissionOptions {
  // Waiting requests per class and in all classes together.
  std::size_t max_requests_per_class = 1000;
  std::size_t max_requests = 2000;
  // Parts of the capacity for interactive, standard and batch under load.
  std::array<std::int64_t, kPriorityClasses> class_weights{16, 4, 1};
  // Tokens per turn of an account of weight 1. A turn must not start more
  // requests than the account's part of a full queue holds, or an account
  // within its part is refused between its turns (seen with 2,048 tokens, 100
  // tokens per request and 50 places for 5 accounts).
  Tokens quantum{256};
  // A batch request that has waited this long starts before anything else.
  Duration batch_max_age = std::chrono::seconds(600);
};

// What became of a request that arrived, and of others that had to yield to it.
struct EnqueueResult {
  tl::expected<QueueTicket, Refusal> outcome;
  std::vector<Refusal> shed;
};

// The request to start, if any, and those whose deadline passed before.
struct StartResult {
  std::optional<QueuedRequest> request;
  std::vector<Refusal> expired;
};

// The waiting requests of one daemon. `now` must not decrease between calls.
// Classes share the capacity by weight in tokens; within a class client
// accounts take turns. A full queue removes the last request of the longest
// account, from the lowest class first, so that a client account that sends too
// much harms only itself.
class AdmissionQueue {
 public:
  explicit AdmissionQueue(const AdmissionOptions& options);

  // Takes a request in, or refuses it. The caller answers all refusals.
  auto Enqueue(QueuedRequest request, Timestamp now) -> EnqueueResult;
  // Call when an upstream has room: the request that starts now.
  auto StartNext(Timestamp now) -> StartResult;
  // Refuses requests whose latest start has passed; call at least as often as
  // answers to them may be late.
  auto Expire(Timestamp now) -> std::vector<Refusal>;
  // The caller went away. Returns false when the request does not wait any
  // more.
  auto Cancel(QueueTicket ticket) -> bool;

  auto Waiting(PriorityClass priority) const -> std::size_t;
  auto OldestAge(PriorityClass priority, Timestamp now) const -> Duration;
  // Expected wait of a request that arrives now; nothing while the pace is not
  // known.
  auto ExpectedWait(const QueuedRequest& request) const
      -> std::optional<Duration>;

 private:
  auto Queue(PriorityClass priority) -> ClassQueue&;
  auto Queue(PriorityClass priority) const -> const ClassQueue&;
  auto TotalWaiting() const -> std::size_t;
  // The expected wait if the request's account had `ahead` tokens waiting.
  auto EstimateWait(const QueuedRequest& request, Tokens tokens_ahead) const
      -> std::optional<Duration>;
  // After which time, without further arrivals, the expected wait of a request
  // has fallen from `wait` to `allowed`.
  auto TimeUntilWaitDropsTo(const QueuedRequest& request, Duration wait,
                            Duration allowed_wait) const -> Duration;
  auto CheckDeadline(const QueuedRequest& request, Timestamp now) const
      -> std::optional<Refusal>;
  auto EnforceCapacity(const QueuedRequest& request, std::vector<Refusal>& shed)
      -> std::optional<Refusal>;
  auto ClassToShed(const QueuedRequest& request) const
      -> std::optional<PriorityClass>;
  auto MakeRefusal(const QueuedRequest& request, RefusalReason reason) const
      -> Refusal;
  auto NextClass() const -> std::optional<PriorityClass>;
  auto DequeueAged(Timestamp now) -> std::optional<QueuedRequest>;
  auto DequeueByWeight(Timestamp now) -> std::optional<QueuedRequest>;
  auto ChargeClass(PriorityClass priority, Tokens cost) -> void;

  AdmissionOptions options_;
  std::vector<ClassQueue> queues_;
  // Tokens started per class, divided by its weight; the class with the least
  // is next.
  std::array<double, kPriorityClasses> class_virtual_time_{};
  double virtual_time_ = 0;
  QueueTicket last_ticket_;
  DrainRate drain_rate_;
};

}  // namespace dotterellug
