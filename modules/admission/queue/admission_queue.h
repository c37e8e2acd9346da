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

// Capacity and scheduling parameters of an AdmissionQueue.
struct AdmissionOptions {
  // Limits on the number of waiting requests, for each class and for all
  // classes together.
  std::size_t max_requests_per_class = 1000;
  std::size_t max_requests = 2000;
  // Scheduling weights of the interactive, standard and batch classes while
  // several of them have waiting requests.
  std::array<std::int64_t, kPriorityClasses> class_weights{16, 4, 1};
  // Deficit round robin quantum: in each round, requests of this many tokens
  // may start for an account of weight 1. It must be at most the tokens of the
  // requests in an account's fair share of a full queue. Otherwise requests of
  // an account within its share are refused while it waits for its next turn
  // (observed with 2,048 tokens, 100 tokens per request and 50 queue slots for
  // 5 accounts).
  Tokens quantum{256};
  // Age at which a batch request starts before requests of all other classes,
  // which bounds starvation of the batch class.
  Duration batch_max_age = std::chrono::seconds(600);
};

// The result of AdmissionQueue::Enqueue: a ticket if the request was queued or
// the reason for its refusal, and the waiting requests that were shed to make
// space for it.
struct EnqueueResult {
  tl::expected<QueueTicket, Refusal> outcome;
  std::vector<Refusal> shed;
};

// The result of AdmissionQueue::StartNext: the request to start, if any, and
// the waiting requests whose latest start has passed.
struct StartResult {
  std::optional<QueuedRequest> request;
  std::vector<Refusal> expired;
};

// The bounded queue of the requests that wait for upstream capacity. Capacity
// is divided between the priority classes by weighted fair queueing in tokens,
// and within a class between client accounts by deficit round robin. When the
// queue is full, it sheds the newest request of the account with the largest
// backlog, in the lowest class that has waiting requests, so that an account
// that sends too much delays or loses only its own requests. `now` must not
// decrease between calls.
class AdmissionQueue {
 public:
  explicit AdmissionQueue(const AdmissionOptions& options);

  // Queues the request or refuses it. The caller must respond to the refused
  // request and to each request that was shed.
  auto Enqueue(QueuedRequest request, Timestamp now) -> EnqueueResult;
  // Removes the next request to start. Call it when an upstream has free
  // capacity. The caller must respond to each expired request.
  auto StartNext(Timestamp now) -> StartResult;
  // Removes and returns the requests whose latest start has passed. The
  // interval between calls bounds the delay of their responses.
  auto Expire(Timestamp now) -> std::vector<Refusal>;
  // Removes a request whose caller has disconnected. Returns false if the
  // request is no longer queued.
  auto Cancel(QueueTicket ticket) -> bool;

  // The number of waiting requests of a class.
  auto Waiting(PriorityClass priority) const -> std::size_t;
  // The time since the arrival of the oldest waiting request of a class; zero
  // if none waits.
  auto OldestAge(PriorityClass priority, Timestamp now) const -> Duration;
  // The expected wait of a request that arrives now; empty until the drain rate
  // has been measured.
  auto ExpectedWait(const QueuedRequest& request) const
      -> std::optional<Duration>;

 private:
  auto Queue(PriorityClass priority) -> ClassQueue&;
  auto Queue(PriorityClass priority) const -> const ClassQueue&;
  auto TotalWaiting() const -> std::size_t;
  // The expected wait of the request if its account had `tokens_ahead` tokens
  // queued in front of it; empty until the drain rate has been measured.
  auto EstimateWait(const QueuedRequest& request, Tokens tokens_ahead) const
      -> std::optional<Duration>;
  // The time until the expected wait of a request drops from `wait` to
  // `allowed_wait` if no further requests arrive.
  auto TimeUntilWaitDropsTo(const QueuedRequest& request, Duration wait,
                            Duration allowed_wait) const -> Duration;
  // Refuses a request that cannot meet its deadline even without waiting, or
  // after its expected wait.
  auto CheckDeadline(const QueuedRequest& request, Timestamp now) const
      -> std::optional<Refusal>;
  // Sheds one waiting request if the queue is full. Refuses `request` instead
  // if its own account has the largest backlog.
  auto MakeSpaceFor(const QueuedRequest& request, std::vector<Refusal>& shed)
      -> std::optional<Refusal>;
  // The class from which a request must be removed before `request` can be
  // queued; empty while the queue is not full.
  auto ClassToShedFrom(const QueuedRequest& request) const
      -> std::optional<PriorityClass>;
  auto MakeRefusal(const QueuedRequest& request, RefusalReason reason) const
      -> Refusal;
  // The class with waiting requests and the lowest virtual time.
  auto NextClass() const -> std::optional<PriorityClass>;
  // Takes the oldest batch request if it has reached batch_max_age.
  auto DequeueAged(Timestamp now) -> std::optional<QueuedRequest>;
  // Takes the next request of the class with the lowest virtual time.
  auto DequeueByWeight(Timestamp now) -> std::optional<QueuedRequest>;
  auto ChargeClass(PriorityClass priority, Tokens cost) -> void;

  AdmissionOptions options_;
  std::vector<ClassQueue> queues_;
  // Virtual time of each class: the tokens of its started requests, divided by
  // its weight.
  std::array<double, kPriorityClasses> class_virtual_time_{};
  // The highest virtual time at which a class has started a request.
  double virtual_time_ = 0;
  QueueTicket last_ticket_;
  DrainRate drain_rate_;
};

}  // namespace dotterellug
