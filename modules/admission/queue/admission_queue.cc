#include "admission/queue/admission_queue.h"

#include <algorithm>
#include <utility>

namespace dotterellug {
namespace {

// Highest priority first.
constexpr std::array<PriorityClass, kPriorityClasses> kPriorityOrder{
    PriorityClass::kInteractive, PriorityClass::kStandard,
    PriorityClass::kBatch};

// Adds 5%: the expected wait is accurate only to a few percent, and refusing a
// request on arrival is better than letting it expire after the whole wait.
auto WithSafetyMargin(Duration wait) -> Duration { return wait + wait / 20; }

auto Index(PriorityClass priority) -> std::size_t {
  return static_cast<std::size_t>(priority);
}

}  // namespace

AdmissionQueue::AdmissionQueue(const AdmissionOptions& options)
    : options_(options),
      queues_(kPriorityClasses, ClassQueue(options.quantum)) {}

auto AdmissionQueue::Enqueue(QueuedRequest request, Timestamp now)
    -> EnqueueResult {
  EnqueueResult result;
  request.account_weight = std::max<std::int64_t>(1, request.account_weight);
  if (auto refusal = CheckDeadline(request, now)) {
    result.outcome = tl::unexpected(*std::move(refusal));
    return result;
  }
  if (auto refusal = MakeSpaceFor(request, result.shed)) {
    result.outcome = tl::unexpected(*std::move(refusal));
    return result;
  }
  const auto index = Index(request.priority);
  // A class that was idle gets no credit for the capacity that it did not use.
  if (queues_[index].Size() == 0) {
    class_virtual_time_[index] =
        std::max(class_virtual_time_[index], virtual_time_);
  }
  last_ticket_ = last_ticket_.Next();
  queues_[index].Add(last_ticket_, std::move(request));
  result.outcome = last_ticket_;
  return result;
}

auto AdmissionQueue::StartNext(Timestamp now) -> StartResult {
  StartResult result;
  result.expired = Expire(now);
  result.request = DequeueAged(now);
  if (!result.request) result.request = DequeueByWeight(now);
  if (result.request) {
    drain_rate_.RecordStart(result.request->cost, TotalWaiting() > 0, now);
  }
  return result;
}

auto AdmissionQueue::Expire(Timestamp now) -> std::vector<Refusal> {
  std::vector<Refusal> expired;
  for (auto& queue : queues_) {
    while (const auto request = queue.RemoveExpired(now)) {
      expired.push_back(MakeRefusal(*request, RefusalReason::kExpiredInQueue));
    }
  }
  return expired;
}

auto AdmissionQueue::Cancel(QueueTicket ticket) -> bool {
  return std::any_of(queues_.begin(), queues_.end(), [&](ClassQueue& queue) {
    return queue.Remove(ticket).has_value();
  });
}

auto AdmissionQueue::Waiting(PriorityClass priority) const -> std::size_t {
  return Queue(priority).Size();
}

auto AdmissionQueue::OldestAge(PriorityClass priority, Timestamp now) const
    -> Duration {
  const auto arrival = Queue(priority).OldestArrival();
  return arrival ? now - *arrival : Duration(0);
}

auto AdmissionQueue::ExpectedWait(const QueuedRequest& request) const
    -> std::optional<Duration> {
  const auto& queue = Queue(request.priority);
  const auto wait =
      EstimateWait(request, queue.QueuedTokensOf(request.account));
  if (!wait) return std::nullopt;
  // The backlog alone does not include requests that other accounts send in the
  // meantime; the drain rate measured for the account does.
  return std::max(*wait, queue.WaitAtAccountDrainRate(request.account));
}

auto AdmissionQueue::EstimateWait(const QueuedRequest& request,
                                  Tokens tokens_ahead) const
    -> std::optional<Duration> {
  const auto rate = drain_rate_.TokensPerSecond();
  if (!rate) return std::nullopt;
  const auto index = Index(request.priority);
  const auto class_tokens = queues_[index].TokensUntilServed(
      request.account, request.account_weight, tokens_ahead + request.cost);
  const auto normalized_service =
      class_tokens / static_cast<double>(options_.class_weights[index]);
  auto total = class_tokens;
  for (std::size_t other = 0; other < kPriorityClasses; ++other) {
    if (other == index) continue;
    const auto queued =
        static_cast<double>(queues_[other].QueuedTokens().Value());
    const auto weight = static_cast<double>(options_.class_weights[other]);
    total += std::min(queued, normalized_service * weight);
  }
  // The request's own tokens are processed after its start.
  total -= static_cast<double>(request.cost.Value());
  return FromSeconds(std::max(0.0, total) / *rate);
}

auto AdmissionQueue::TimeUntilWaitDropsTo(const QueuedRequest& request,
                                          Duration wait,
                                          Duration allowed_wait) const
    -> Duration {
  const auto wait_without_own_backlog = EstimateWait(request, Tokens());
  // Each start reduces the wait of the request while its account has others
  // queued in front of it.
  if (wait_without_own_backlog &&
      WithSafetyMargin(*wait_without_own_backlog) <= allowed_wait) {
    return WithSafetyMargin(wait) - allowed_wait;
  }
  // Otherwise the backlog of the other accounts alone causes a wait that is too
  // long, until it has drained.
  Tokens queued;
  for (const auto& queue : queues_) queued += queue.QueuedTokens();
  const auto drain_time = FromSeconds(static_cast<double>(queued.Value()) /
                                      *drain_rate_.TokensPerSecond());
  return WithSafetyMargin(std::max(wait, drain_time)) - allowed_wait;
}

auto AdmissionQueue::Queue(PriorityClass priority) -> ClassQueue& {
  return queues_[Index(priority)];
}

auto AdmissionQueue::Queue(PriorityClass priority) const -> const ClassQueue& {
  return queues_[Index(priority)];
}

auto AdmissionQueue::TotalWaiting() const -> std::size_t {
  std::size_t total = 0;
  for (const auto& queue : queues_) total += queue.Size();
  return total;
}

auto AdmissionQueue::CheckDeadline(const QueuedRequest& request,
                                   Timestamp now) const
    -> std::optional<Refusal> {
  if (request.LatestStart() < now) {
    auto refusal = MakeRefusal(request, RefusalReason::kDeadlineTooShort);
    refusal.retry_after.reset();
    return refusal;
  }
  const auto wait = ExpectedWait(request);
  if (!wait) return std::nullopt;
  const auto allowed_wait = request.LatestStart() - now;
  if (WithSafetyMargin(*wait) <= allowed_wait) return std::nullopt;
  auto refusal = MakeRefusal(request, RefusalReason::kDeadlineUnreachable);
  refusal.retry_after = TimeUntilWaitDropsTo(request, *wait, allowed_wait);
  return refusal;
}

auto AdmissionQueue::MakeSpaceFor(const QueuedRequest& request,
                                  std::vector<Refusal>& shed)
    -> std::optional<Refusal> {
  const auto victim_class = ClassToShedFrom(request);
  if (!victim_class) return std::nullopt;
  auto& queue = Queue(*victim_class);
  const auto* arriving_account =
      *victim_class == request.priority ? &request.account : nullptr;
  const auto most_backlogged =
      queue.MostBackloggedAccount(arriving_account, request.account_weight);
  if (arriving_account != nullptr && most_backlogged == request.account) {
    return MakeRefusal(request, RefusalReason::kQueueFull);
  }
  if (const auto victim = queue.RemoveNewestOf(most_backlogged)) {
    shed.push_back(MakeRefusal(*victim, RefusalReason::kShed));
  }
  return std::nullopt;
}

auto AdmissionQueue::ClassToShedFrom(const QueuedRequest& request) const
    -> std::optional<PriorityClass> {
  if (Waiting(request.priority) >= options_.max_requests_per_class) {
    return request.priority;
  }
  if (TotalWaiting() < options_.max_requests) return std::nullopt;
  for (auto it = kPriorityOrder.rbegin(); it != kPriorityOrder.rend(); ++it) {
    // If only higher classes have waiting requests, the arriving request is
    // itself the newest of the lowest class.
    if (Waiting(*it) > 0 || *it == request.priority) return *it;
  }
  return request.priority;
}

auto AdmissionQueue::MakeRefusal(const QueuedRequest& request,
                                 RefusalReason reason) const -> Refusal {
  Refusal refusal;
  refusal.id = request.id;
  refusal.account = request.account;
  refusal.priority = request.priority;
  refusal.reason = reason;
  // The queue has free capacity once the requests in front of this one have
  // started. Without a measured drain rate the value is 1 s, the smallest that
  // a Retry-After header can express.
  refusal.retry_after = ExpectedWait(request).value_or(std::chrono::seconds(1));
  return refusal;
}

auto AdmissionQueue::NextClass() const -> std::optional<PriorityClass> {
  std::optional<PriorityClass> next;
  for (const auto priority : kPriorityOrder) {
    if (Waiting(priority) == 0) continue;
    if (!next || class_virtual_time_[Index(priority)] <
                     class_virtual_time_[Index(*next)]) {
      next = priority;
    }
  }
  return next;
}

auto AdmissionQueue::DequeueAged(Timestamp now)
    -> std::optional<QueuedRequest> {
  if (OldestAge(PriorityClass::kBatch, now) < options_.batch_max_age) {
    return std::nullopt;
  }
  auto request = Queue(PriorityClass::kBatch).DequeueOldest(now);
  if (!request) return std::nullopt;
  // The tokens are charged to the standard class if it has waiting requests.
  // Charged to the batch class alone, aged requests would also take capacity
  // from the interactive class.
  const bool standard_waits = Waiting(PriorityClass::kStandard) > 0;
  ChargeClass(standard_waits ? PriorityClass::kStandard : PriorityClass::kBatch,
              request->cost);
  return request;
}

auto AdmissionQueue::DequeueByWeight(Timestamp now)
    -> std::optional<QueuedRequest> {
  const auto next = NextClass();
  if (!next) return std::nullopt;
  auto request = Queue(*next).DequeueNext(now);
  if (request) ChargeClass(*next, request->cost);
  return request;
}

auto AdmissionQueue::ChargeClass(PriorityClass priority, Tokens cost) -> void {
  const auto index = Index(priority);
  const auto weight = static_cast<double>(options_.class_weights[index]);
  virtual_time_ = std::max(virtual_time_, class_virtual_time_[index]);
  class_virtual_time_[index] += static_cast<double>(cost.Value()) / weight;
}

}  // namespace dotterellug
