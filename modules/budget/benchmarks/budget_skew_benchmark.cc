// Compares three designs of a fleet-wide limit under skewed demand: fixed
// shares, a central counter, and this module's shares that move with demand and
// token transfers. Measures how much of the limit stays unused in a simulated
// run with the same requests for each. Prints CSV:
// daemons,design,offered,admitted,refused_percent,messages_per_second.
//
// One daemon receives 70% of the demand, a different one every 30 s. Total
// demand is 90% of the rate, so refused requests show budget that is unused. A
// message takes 1 ms one way. A refused request is retried twice at intervals
// of 3 ms.

#include <cstdio>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "budget/budget.h"
#include "core/random/random.h"
#include "core/variant/overloaded.h"

namespace dotterellug {
namespace {

const ShardId kShard("budget-0");
const BudgetId kBudget("account-a");
const RateLimit kLimit{Tokens(10'000), Tokens(20'000)};
constexpr Duration kStepDuration = std::chrono::milliseconds(1);
constexpr int kWarmUpSteps = 10'000;
constexpr int kMeasuredSteps = 120'000;
constexpr int kHotDaemonIntervalSteps = 30'000;
constexpr int kMaxAttempts = 3;
constexpr int kRetryIntervalSteps = 3;

struct Request {
  int daemon = 0;
  std::int64_t tokens = 0;
  int attempts = 0;
  int due_step = 0;
};

struct RunTotals {
  std::int64_t offered = 0;
  std::int64_t admitted = 0;
  std::int64_t messages = 0;
};

// One bucket per daemon with an equal and constant share.
class FixedShares {
 public:
  explicit FixedShares(int daemons) {
    for (int i = 0; i < daemons; ++i) {
      buckets_.emplace_back(kLimit, Timestamp{});
      buckets_.back().ChangeShare(PartsPerMillion(kWhole.Value() / daemons),
                                  MicroTokens(0), Timestamp{});
    }
  }
  auto Admit(const Request& request, Timestamp now) -> bool {
    return buckets_[request.daemon]
        .TryCharge(Tokens(request.tokens), now)
        .has_value();
  }
  auto Step(int step, Timestamp now) -> void {}
  auto Messages() const -> std::int64_t { return 0; }

 private:
  std::vector<TokenBucket> buckets_;
};

// One bucket for the whole fleet; each decision takes a request and a response.
// The latency that this round trip adds to each admission is not simulated.
class CentralCounter {
 public:
  explicit CentralCounter(int daemons) : bucket_(kLimit, Timestamp{}) {
    bucket_.ChangeShare(kWhole, MicroTokens(0), Timestamp{});
  }
  auto Admit(const Request& request, Timestamp now) -> bool {
    messages_ += 2;
    return bucket_.TryCharge(Tokens(request.tokens), now).has_value();
  }
  auto Step(int step, Timestamp now) -> void {}
  auto Messages() const -> std::int64_t { return messages_; }

 private:
  TokenBucket bucket_;
  std::int64_t messages_ = 0;
};

// The budget module with a store that responds immediately and a network that
// delivers messages after one step.
class MovingShares {
 public:
  explicit MovingShares(int daemons) {
    for (int i = 0; i < daemons; ++i) {
      shards_.push_back(std::make_unique<BudgetShard>(kShard, Self(i)));
      shards_.back()->SetLimits({RevisionNumber(1), {{kBudget, kLimit}}},
                                Timestamp{});
    }
    for (int i = 0; i < daemons; ++i) {
      Execute(i, shards_[i]->Tick(Timestamp{}), Timestamp{});
    }
    // Reads the registrations of the other members first.
    Execute(0, shards_[0]->Tick(Timestamp{}), Timestamp{});
    Execute(0, shards_[0]->TakeOver(Timestamp{}), Timestamp{});
  }
  auto Admit(const Request& request, Timestamp now) -> bool {
    auto& shard = *shards_[request.daemon];
    if (shard.Holder().TryCharge(kBudget, Tokens(request.tokens), now)) {
      return true;
    }
    Execute(request.daemon,
            shard.RequestTokens(kBudget, Tokens(request.tokens), now), now);
    return false;
  }
  auto Step(int step, Timestamp now) -> void {
    auto due = std::exchange(in_flight_, {});
    for (const auto& send : due) {
      const auto to = std::stoi(send.to.instance.Value());
      Execute(to, shards_[to]->OnMessage(send.message, now), now);
    }
    // The ticks of the daemons are spread over the tick interval of 500 ms.
    for (std::size_t i = 0; i < shards_.size(); ++i) {
      if ((step + static_cast<int>(i) * 7) % 500 != 0) continue;
      Execute(static_cast<int>(i), shards_[i]->Tick(now), now);
    }
  }
  auto Messages() const -> std::int64_t { return messages_; }

 private:
  static auto Self(int index) -> MemberId {
    return {InstanceId(std::to_string(index)), Incarnation(1)};
  }
  auto Execute(int daemon, const BudgetActions& actions, Timestamp now)
      -> void {
    for (const auto& action : actions) {
      std::visit(
          Overloaded{
              [&](const ReadObject&) {
                Execute(daemon, shards_[daemon]->OnRead(object_, now), now);
              },
              [&](const WriteObject& write) { Write(daemon, write, now); },
              [&](const SendBudgetMessage& send) {
                ++messages_;
                in_flight_.push_back(send);
              }},
          action);
    }
  }
  auto Write(int daemon, const WriteObject& write, Timestamp now) -> void {
    auto outcome = WriteOutcome::kConflict;
    if (write.expected == object_.version) {
      object_ = {write.name, object_.version.Next(), write.value};
      outcome = WriteOutcome::kDone;
    }
    Execute(daemon, shards_[daemon]->OnWrite(outcome, now), now);
  }

  std::vector<std::unique_ptr<BudgetShard>> shards_;
  ObjectRecord object_{OwnerObjectName(kShard), kAbsent, ""};
  std::deque<SendBudgetMessage> in_flight_;
  std::int64_t messages_ = 0;
};

auto GenerateRequests(int daemons, int step, Random* random)
    -> std::vector<Request> {
  std::vector<Request> requests;
  // 90 requests/s of 100 tokens on average are 90% of the rate limit.
  if (random->Uniform() >= 0.09) return requests;
  const int hot_daemon = step / kHotDaemonIntervalSteps % daemons;
  const bool at_hot_daemon = random->Uniform() < 0.7;
  const int daemon = at_hot_daemon ? hot_daemon
                                   : static_cast<int>(random->Below(
                                         static_cast<std::uint64_t>(daemons)));
  requests.push_back(
      {daemon, static_cast<std::int64_t>(50 + random->Below(101)), 0, step});
  return requests;
}

template <typename Design>
auto Run(int daemons, const char* name) -> void {
  Design design(daemons);
  Random random(7);
  RunTotals totals;
  std::deque<Request> waiting;
  std::int64_t messages_before = 0;
  for (int step = 1; step <= kWarmUpSteps + kMeasuredSteps; ++step) {
    const auto now = Timestamp(step * kStepDuration);
    const bool counted = step > kWarmUpSteps;
    if (step == kWarmUpSteps) messages_before = design.Messages();
    design.Step(step, now);
    for (const auto& request : GenerateRequests(daemons, step, &random)) {
      if (counted) totals.offered += request.tokens;
      waiting.push_back(request);
    }
    const auto due_count = waiting.size();
    for (std::size_t i = 0; i < due_count; ++i) {
      auto request = waiting.front();
      waiting.pop_front();
      if (request.due_step > step) {
        waiting.push_back(request);
        continue;
      }
      if (design.Admit(request, now)) {
        if (counted) totals.admitted += request.tokens;
      } else if (++request.attempts < kMaxAttempts) {
        request.due_step = step + kRetryIntervalSteps;
        waiting.push_back(request);
      }
    }
  }
  const auto seconds = ToSeconds(kMeasuredSteps * kStepDuration);
  std::printf(
      "%d,%s,%lld,%lld,%.2f,%.1f\n", daemons, name,
      static_cast<long long>(totals.offered),
      static_cast<long long>(totals.admitted),
      100.0 * static_cast<double>(totals.offered - totals.admitted) /
          static_cast<double>(totals.offered),
      static_cast<double>(design.Messages() - messages_before) / seconds);
}

}  // namespace
}  // namespace dotterellug

auto main() -> int {
  std::printf(
      "daemons,design,offered,admitted,refused_percent,messages_per_second\n");
  for (const int daemons : {9, 100}) {
    dotterellug::Run<dotterellug::FixedShares>(daemons, "fixed_shares");
    dotterellug::Run<dotterellug::MovingShares>(daemons, "moving_shares");
    dotterellug::Run<dotterellug::CentralCounter>(daemons, "central_counter");
  }
  return 0;
}
