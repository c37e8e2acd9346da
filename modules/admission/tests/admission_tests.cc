#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <deque>
#include <iostream>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "admission/admission.h"

namespace dotterellug {
namespace {

constexpr auto kBatch = PriorityClass::kBatch;
constexpr auto kStandard = PriorityClass::kStandard;
constexpr auto kInteractive = PriorityClass::kInteractive;

// A point in time in simulated milliseconds.
auto At(std::int64_t milliseconds) -> Timestamp {
  return Timestamp(std::chrono::milliseconds(milliseconds));
}

// A request with a cost in tokens and a deadline relative to `now`.
auto Request(const std::string& account, PriorityClass priority, Timestamp now,
             std::int64_t cost = 100, std::int64_t deadline_ms = 1'000'000)
    -> QueuedRequest {
  QueuedRequest request;
  request.account = ClientAccountId(account);
  request.priority = priority;
  request.cost = Tokens(cost);
  request.arrival = now;
  request.deadline = now + std::chrono::milliseconds(deadline_ms);
  return request;
}

// Checks a RapidCheck property with a fixed seed, so that every run gives the
// same result.
template <typename Property>
auto CheckProperty(const Property& property, std::uint64_t seed) -> bool {
  rc::detail::TestParams params;
  params.seed = seed;
  const auto result =
      rc::detail::checkTestable(property, rc::detail::TestMetadata{}, params);
  rc::detail::printResultMessage(result, std::cerr);
  return result.template is<rc::detail::SuccessResult>();
}

auto RandomClass() -> PriorityClass {
  return *rc::gen::element(kInteractive, kStandard, kBatch);
}

// Starts one request of 100 tokens every 10 ms until the queue is empty, so
// that its drain rate has been measured. Returns the time in milliseconds.
auto MeasureDrainRate(AdmissionQueue& queue) -> std::int64_t {
  for (int i = 0; i < 200; ++i) {
    queue.Enqueue(Request("p", kStandard, At(0)), At(0));
  }
  std::int64_t now = 0;
  while (queue.StartNext(At(now)).request) now += 10;
  return now;
}

// Guards against queues beyond their limits, requests that are lost or answered
// twice, and requests that start after their latest start or are reported as
// run although they were refused.
TEST(AdmissionQueuePropertyTest, EachRequestEndsExactlyOnceWithinBounds) {
  const auto property = [] {
    AdmissionOptions options;
    options.max_requests_per_class = 5;
    options.max_requests = 9;
    options.batch_max_age = std::chrono::seconds(1);
    AdmissionQueue queue(options);
    std::map<std::string, int> answers;
    const auto count_refusals = [&](const std::vector<Refusal>& refusals) {
      for (const auto& refusal : refusals) {
        RC_ASSERT(!refusal.ran);
        ++answers[refusal.id.Value()];
      }
    };
    std::int64_t now = 0;
    int sent = 0;
    const auto steps = *rc::gen::inRange(1, 150);
    for (int step = 0; step < steps; ++step) {
      now += *rc::gen::inRange(0, 200);
      if (*rc::gen::inRange(0, 3) > 0) {
        auto request = Request(
            *rc::gen::element<std::string>("a", "b", "c"), RandomClass(),
            At(now), *rc::gen::inRange(1, 5000), *rc::gen::inRange(0, 3000));
        request.id = RequestId(std::to_string(sent++));
        const auto result = queue.Enqueue(request, At(now));
        count_refusals(result.shed);
        if (!result.outcome) count_refusals({result.outcome.error()});
      } else {
        const auto aged =
            queue.OldestAge(kBatch, At(now)) >= options.batch_max_age;
        const auto result = queue.StartNext(At(now));
        count_refusals(result.expired);
        if (!result.request) continue;
        ++answers[result.request->id.Value()];
        RC_ASSERT(result.request->LatestStart() >= At(now));
        // No request starts before an aged batch request, unless that request
        // expired in this step.
        if (aged && result.expired.empty()) {
          RC_ASSERT(result.request->priority == kBatch);
        }
      }
      for (const auto priority : {kInteractive, kStandard, kBatch}) {
        RC_ASSERT(queue.Waiting(priority) <= options.max_requests_per_class);
      }
      RC_ASSERT(queue.Waiting(kInteractive) + queue.Waiting(kStandard) +
                    queue.Waiting(kBatch) <=
                options.max_requests);
    }
    for (;;) {
      const auto result = queue.StartNext(At(now));
      count_refusals(result.expired);
      if (!result.request) break;
      ++answers[result.request->id.Value()];
    }
    for (int i = 0; i < sent; ++i) RC_ASSERT(answers[std::to_string(i)] == 1);
  };
  EXPECT_TRUE(CheckProperty(property, 2));
}

// Guards against an account with five times the load that takes capacity or
// queue slots from accounts within their fair share.
TEST(AdmissionQueueFairnessTest, OverloadingAccountAffectsOnlyItself) {
  AdmissionOptions options;
  options.max_requests_per_class = 50;
  AdmissionQueue queue(options);
  std::map<std::string, int> started;
  int others_refused = 0;
  const auto count_refusal = [&](const Refusal& refusal) {
    if (refusal.account != ClientAccountId("big")) ++others_refused;
  };
  // Capacity is 10 requests per 100 ms; each of the other accounts sends 2 and
  // `big` sends 10.
  for (std::int64_t now = 0; now < 100'000; now += 100) {
    for (int i = 0; i < 10; ++i) {
      const auto result =
          queue.Enqueue(Request("big", kStandard, At(now)), At(now));
      for (const auto& refusal : result.shed) count_refusal(refusal);
      for (const auto* account : {"a", "b", "c", "d"}) {
        if (i >= 2) continue;
        const auto other =
            queue.Enqueue(Request(account, kStandard, At(now)), At(now));
        if (!other.outcome) count_refusal(other.outcome.error());
      }
    }
    for (int i = 0; i < 10; ++i) {
      const auto result = queue.StartNext(At(now));
      if (result.request) ++started[result.request->account.Value()];
    }
  }
  EXPECT_EQ(others_refused, 0);
  for (const auto* account : {"a", "b", "c", "d"}) {
    EXPECT_GE(started[account], 1950) << account;
  }
  EXPECT_GE(started["big"], 1950);
}

// Guards against scheduling that ignores weights: capacity must be divided
// 16:4:1 between the classes and by weight between accounts.
TEST(AdmissionQueueFairnessTest, CapacityFollowsClassAndAccountWeights) {
  AdmissionOptions options;
  options.max_requests_per_class = 10'000;
  options.max_requests = 30'000;
  AdmissionQueue queue(options);
  std::map<std::pair<PriorityClass, std::string>, int> started;
  for (const auto priority : {kInteractive, kStandard, kBatch}) {
    for (int i = 0; i < 3000; ++i) {
      for (const auto* account : {"light", "heavy"}) {
        auto request = Request(account, priority, At(0));
        request.account_weight = account[0] == 'h' ? 3 : 1;
        queue.Enqueue(request, At(0));
      }
    }
  }
  for (int i = 0; i < 2100; ++i) {
    const auto request = queue.StartNext(At(0)).request;
    ++started[{request->priority, request->account.Value()}];
  }
  EXPECT_NEAR((started[{kInteractive, "light"}]), 400, 40);
  EXPECT_NEAR((started[{kInteractive, "heavy"}]), 1200, 40);
  EXPECT_NEAR((started[{kStandard, "heavy"}] + started[{kStandard, "light"}]),
              400, 5);
  EXPECT_NEAR((started[{kBatch, "heavy"}] + started[{kBatch, "light"}]), 100,
              5);
}

// Guards against aged batch requests that take capacity from the interactive
// class.
TEST(AdmissionQueueFairnessTest, AgedBatchDisplacesStandardNotInteractive) {
  AdmissionQueue queue(AdmissionOptions{});
  for (int i = 0; i < 10; ++i) {
    queue.Enqueue(Request("a", kBatch, At(0)), At(0));
  }
  for (int i = 0; i < 100; ++i) {
    queue.Enqueue(Request("a", kInteractive, At(599'000)), At(599'000));
    queue.Enqueue(Request("a", kStandard, At(599'000)), At(599'000));
  }
  for (int i = 0; i < 40; ++i) {
    const auto request = queue.StartNext(At(600'000)).request;
    EXPECT_EQ(request->priority, i < 10 ? kBatch : kInteractive) << i;
  }
}

// Guards against shedding from a class above the lowest one, or the oldest
// request first.
TEST(AdmissionQueueSheddingTest, RemovesNewestRequestOfLowestClass) {
  AdmissionOptions options;
  options.max_requests = 3;
  AdmissionQueue queue(options);
  const auto enqueue = [&](const char* id, PriorityClass priority) {
    auto request = Request("a", priority, At(0));
    request.id = RequestId(id);
    return queue.Enqueue(request, At(0));
  };
  enqueue("batch1", kBatch);
  enqueue("batch2", kBatch);
  enqueue("standard", kStandard);
  EXPECT_EQ(enqueue("batch3", kBatch).outcome.error().reason,
            RefusalReason::kQueueFull);
  EXPECT_EQ(enqueue("x1", kInteractive).shed.at(0).id.Value(), "batch2");
  EXPECT_EQ(enqueue("x2", kInteractive).shed.at(0).id.Value(), "batch1");
  EXPECT_EQ(enqueue("x3", kInteractive).shed.at(0).id.Value(), "standard");
  const auto last = enqueue("x4", kInteractive);
  EXPECT_TRUE(last.shed.empty());
  EXPECT_EQ(last.outcome.error().reason, RefusalReason::kQueueFull);
}

// Guards against an expected wait that differs from the actual wait by more
// than one round of all accounts and classes.
TEST(AdmissionQueueDeadlineTest, ExpectedWaitMatchesActualWait) {
  const auto property = [] {
    AdmissionQueue queue(AdmissionOptions{});
    auto now = MeasureDrainRate(queue);
    const auto waiting = *rc::gen::inRange(1, 150);
    for (int i = 0; i < waiting; ++i) {
      const auto* account = *rc::gen::element("a", "b", "c");
      queue.Enqueue(Request(account, RandomClass(), At(now)), At(now));
    }
    auto probe = Request("a", RandomClass(), At(now));
    probe.id = RequestId("probe");
    const auto expected = now + queue.ExpectedWait(probe)->count() / 1000;
    RC_ASSERT(queue.Enqueue(probe, At(now)).outcome.has_value());
    while (queue.StartNext(At(now)).request->id != probe.id) now += 10;
    RC_ASSERT(std::abs(now - expected) <= 250);
  };
  EXPECT_TRUE(CheckProperty(property, 5));
}

// Guards against refusals of unreachable deadlines that callers cannot act on:
// the refusal must have the reason kDeadlineUnreachable and a Retry-After after
// which the same request is accepted.
TEST(AdmissionQueueDeadlineTest,
     RefusesUnreachableDeadlineWithUsableRetryAfter) {
  const auto property = [] {
    AdmissionOptions options;
    options.quantum = Tokens(100);
    AdmissionQueue queue(options);
    auto now = MeasureDrainRate(queue);
    const auto waiting = *rc::gen::inRange(1, 150);
    for (int i = 0; i < waiting; ++i) {
      const auto* account = *rc::gen::element("a", "b", "c");
      queue.Enqueue(Request(account, RandomClass(), At(now)), At(now));
    }
    const auto deadline = *rc::gen::inRange(0, 1500);
    const auto priority = RandomClass();
    auto result =
        queue.Enqueue(Request("a", priority, At(now), 100, deadline), At(now));
    if (result.outcome) return;
    const auto refusal = result.outcome.error();
    RC_ASSERT(refusal.reason == RefusalReason::kDeadlineUnreachable);
    RC_ASSERT(refusal.retry_after.has_value());
    const auto until = now + refusal.retry_after->count() / 1000 + 100;
    for (; now <= until; now += 10) queue.StartNext(At(now));
    result =
        queue.Enqueue(Request("a", priority, At(now), 100, deadline), At(now));
    RC_ASSERT(result.outcome.has_value());
  };
  EXPECT_TRUE(CheckProperty(property, 3));
}

// Guards against a Retry-After that ends while the backlog of other accounts
// still makes the wait too long, although the request's own account has none
// waiting.
TEST(AdmissionQueueDeadlineTest, RetryAfterIncludesBacklogOfOtherAccounts) {
  AdmissionQueue queue(AdmissionOptions{});
  auto now = MeasureDrainRate(queue);
  for (int i = 0; i < 100; ++i) {
    queue.Enqueue(Request("b", kInteractive, At(now)), At(now));
  }
  const auto accepted = [&] {
    return queue.Enqueue(Request("a", kBatch, At(now), 100, 50), At(now))
        .outcome;
  };
  const auto first = accepted();
  ASSERT_FALSE(first.has_value());
  const auto wait = first.error().retry_after->count() / 1000;
  const auto start = now;
  for (; now < start + wait / 2; now += 10) queue.StartNext(At(now));
  EXPECT_FALSE(accepted().has_value());
  for (; now <= start + wait + 10; now += 10) queue.StartNext(At(now));
  EXPECT_TRUE(accepted().has_value());
}

// Guards against requests that are refused only after waiting until their
// latest start, when other accounts keep sending and the account gets only a
// part of the drain rate.
TEST(AdmissionQueueDeadlineTest, ExpectedWaitIncludesCompetingArrivals) {
  AdmissionQueue queue(AdmissionOptions{});
  int refused_on_arrival = 0;
  int expired_in_queue = 0;
  Random random(1);
  // One request starts every 10 ms; in the same time `x`, `y` and `z` send 0.2
  // requests each on average and `big` sends 0.9.
  for (std::int64_t now = 0; now < 500'000; now += 10) {
    for (const auto* account : {"x", "y", "z", "big"}) {
      if (random.Uniform() > (account[0] == 'b' ? 0.9 : 0.2)) continue;
      const auto result = queue.Enqueue(
          Request(account, kStandard, At(now), 100, 5000), At(now));
      refused_on_arrival += result.outcome ? 0 : 1;
    }
    expired_in_queue +=
        static_cast<int>(queue.StartNext(At(now)).expired.size());
  }
  EXPECT_GT(refused_on_arrival, 5000);
  EXPECT_LT(expired_in_queue, refused_on_arrival / 20);
}

// Guards against starts after the latest start, and against refusing requests
// that can meet their deadline.
TEST(AdmissionQueueDeadlineTest, StartsNoLaterThanLatestStart) {
  struct Case {
    const char* name;
    std::int64_t deadline_ms;
    std::int64_t service_time_ms;
    std::int64_t start_ms;
    bool accepted;
    bool started;
  };
  for (const auto& c : std::vector<Case>{
           {"in time", 100, 50, 40, true, true},
           {"at the latest start", 100, 50, 50, true, true},
           {"1 ms after the latest start", 100, 50, 51, true, false},
           {"deadline shorter than service time", 100, 101, 0, false, false}}) {
    AdmissionQueue queue(AdmissionOptions{});
    auto request = Request("a", kStandard, At(0), 100, c.deadline_ms);
    request.service_time = std::chrono::milliseconds(c.service_time_ms);
    const auto result = queue.Enqueue(request, At(0));
    EXPECT_EQ(result.outcome.has_value(), c.accepted) << c.name;
    if (!result.outcome) {
      EXPECT_EQ(result.outcome.error().reason,
                RefusalReason::kDeadlineTooShort);
      EXPECT_FALSE(result.outcome.error().retry_after.has_value());
      continue;
    }
    const auto start = queue.StartNext(At(c.start_ms));
    EXPECT_EQ(start.request.has_value(), c.started) << c.name;
    EXPECT_EQ(start.expired.size(), c.started ? 0U : 1U) << c.name;
  }
}

// Guards against cancelled requests that start or remain queued.
TEST(AdmissionQueueTest, CancelledRequestsDoNotStart) {
  AdmissionQueue queue(AdmissionOptions{});
  const auto ticket =
      *queue.Enqueue(Request("a", kBatch, At(0)), At(0)).outcome;
  EXPECT_TRUE(queue.Cancel(ticket));
  EXPECT_FALSE(queue.Cancel(ticket));
  EXPECT_FALSE(queue.StartNext(At(0)).request.has_value());
}

// Guards against retry storms: the limit must hold in every window of 10 s.
TEST(RetryBudgetTest, BoundHoldsOverEveryWindow) {
  const auto property = [] {
    RetryBudget budget(RetryBudgetOptions{});
    const ClientAccountId account("a");
    std::deque<Timestamp> requests;
    std::deque<Timestamp> retries;
    std::int64_t now = 0;
    const auto steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
      now += *rc::gen::inRange(0, 3000);
      const auto burst = *rc::gen::inRange(0, 40);
      for (int i = 0; i < burst; ++i) {
        budget.RecordFirstAttempt(account, At(now));
        requests.push_back(At(now));
      }
      // Every request fails and is retried twice if the budget allows it.
      for (int i = 0; i < 2 * burst; ++i) {
        if (budget.TryRetry(account, At(now))) retries.push_back(At(now));
      }
      const auto window = At(now) - std::chrono::seconds(10);
      while (!requests.empty() && requests.front() <= window) {
        requests.pop_front();
      }
      while (!retries.empty() && retries.front() <= window) retries.pop_front();
      if (!retries.empty() && retries.back() == At(now)) {
        RC_ASSERT(retries.size() <=
                  std::max<std::size_t>(1, requests.size() / 10));
      }
    }
  };
  EXPECT_TRUE(CheckProperty(property, 4));
}

// Guards against retry budgets that never allow a retry or are shared between
// accounts.
TEST(RetryBudgetTest, AllowsTenPercentPerAccount) {
  RetryBudget budget(RetryBudgetOptions{});
  for (int i = 0; i < 100; ++i) {
    budget.RecordFirstAttempt(ClientAccountId("a"), At(50LL * i));
  }
  int allowed = 0;
  for (int i = 0; i < 100; ++i) {
    allowed += budget.TryRetry(ClientAccountId("a"), At(5000)) ? 1 : 0;
  }
  EXPECT_EQ(allowed, 10);
  EXPECT_TRUE(budget.TryRetry(ClientAccountId("b"), At(5000)));
  EXPECT_FALSE(budget.TryRetry(ClientAccountId("b"), At(5000)));
}

// Guards against retries beyond the retry limit, the deadline or the budget,
// and against retries without backoff.
TEST(RetryDecisionTest, AppliesRetryLimitDeadlineAndBudget) {
  struct Case {
    const char* name;
    int retries;
    std::int64_t deadline_ms;
    std::int64_t retry_after_ms;
    bool exhaust_budget;
    std::optional<NoRetryReason> no_retry;
  };
  for (const auto& c :
       std::vector<Case>{{"first retry", 0, 1000, 0, false, std::nullopt},
                         {"Retry-After within the deadline", 0, 1000, 500,
                          false, std::nullopt},
                         {"Retry-After beyond the deadline", 0, 1000, 950,
                          false, NoRetryReason::kRetryPastDeadline},
                         {"retry limit reached", 3, 1000, 0, false,
                          NoRetryReason::kRetryLimitReached},
                         {"budget exhausted", 0, 1000, 0, true,
                          NoRetryReason::kRetryBudgetExhausted}}) {
    RetryBudget budget(RetryBudgetOptions{});
    const ClientAccountId account("a");
    if (c.exhaust_budget) budget.TryRetry(account, At(0));
    Random random(1);
    FailedAttempt attempt{account, c.retries, At(c.deadline_ms),
                          std::chrono::milliseconds(100), std::nullopt};
    if (c.retry_after_ms > 0) {
      attempt.retry_after = std::chrono::milliseconds(c.retry_after_ms);
    }
    const auto decision =
        DecideRetry(attempt, RetryOptions{}, budget, random, At(0));
    const auto* no_retry = std::get_if<NoRetry>(&decision);
    EXPECT_EQ(no_retry != nullptr, c.no_retry.has_value()) << c.name;
    if (no_retry != nullptr) {
      EXPECT_EQ(no_retry->reason, *c.no_retry) << c.name;
    } else {
      const auto delay = std::get<RetryWithDelay>(decision).delay;
      EXPECT_GE(delay, std::chrono::milliseconds(c.retry_after_ms)) << c.name;
      EXPECT_GE(delay, std::chrono::milliseconds(10)) << c.name;
    }
  }
}

// Guards against delays without jitter, which synchronise retries, and against
// delays beyond the maximum.
TEST(BackoffTest, GrowsWithJitterUpToMaxDelay) {
  const BackoffOptions options;
  Random random(1);
  for (int retry = 1; retry < 100; ++retry) {
    const auto full_delay =
        std::min<std::int64_t>(2'000'000, 20'000LL << std::min(retry - 1, 20));
    const auto delay = BackoffDelay(options, retry, random).count();
    EXPECT_GE(delay, full_delay / 2);
    EXPECT_LE(delay, full_delay);
  }
  EXPECT_NE(BackoffDelay(options, 5, random), BackoffDelay(options, 5, random));
}

}  // namespace
}  // namespace dotterellug
