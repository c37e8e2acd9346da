// Measures the owner of one budget shard by number of members and budgets: CPU
// time of a tick and of processing the demand reports between two ticks, share
// changes sent, and heap memory. Prints CSV.

#include <malloc.h>

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <string>
#include <vector>

#include "budget/budget.h"
#include "core/random/random.h"

namespace dotterellug {
namespace {

constexpr std::uint64_t kSeed = 1;
constexpr int kRounds = 20;

auto HeapBytes() -> double { return static_cast<double>(mallinfo2().uordblks); }

auto CpuSeconds() -> double {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

// Adds a random demand of up to 1,000 tokens per budget to the report.
auto AddRandomDemand(DemandReport& report, Random& random) -> void {
  ++report.sequence;
  for (auto& total : report.totals) {
    total.admitted += Tokens(static_cast<std::int64_t>(random.Below(1000)));
  }
}

// Acknowledges all changes in place of the holders.
auto AcknowledgeChanges(BudgetOwner& owner, const BudgetActions& actions,
                        Timestamp now) -> void {
  for (const auto& action : actions) {
    const auto& send = std::get<SendBudgetMessage>(action);
    const auto& change = std::get<ChangeShare>(send.message);
    owner.OnShareChanged({change.shard, change.term, send.to, change.budget,
                          change.sequence, MicroTokens(0)},
                         now);
  }
}

auto Measure(int members, int budgets) -> void {
  Random random(kSeed);
  const ShardId shard("budgets");
  const MemberId self{InstanceId("instance-0"), Incarnation(1)};
  BudgetLimits limits{RevisionNumber(1), {}};
  std::vector<DemandTotal> totals;
  for (int i = 0; i < budgets; ++i) {
    const BudgetId id("account/account-" + std::to_string(i));
    limits.entries.push_back(
        {id, RateLimit{Tokens(1'000'000), Tokens(4'000'000)}});
    totals.push_back({id, Tokens(0), Tokens(0), Tokens(500)});
  }
  std::vector<DemandReport> reports;
  for (int i = 0; i < members; ++i) {
    const MemberId member{InstanceId("instance-" + std::to_string(i)),
                          Incarnation(1)};
    reports.push_back({shard, member, 0, totals});
  }
  const auto heap_before = HeapBytes();
  Timestamp now{};
  BudgetOwner owner(shard, Term(1), self, TerminatedMembers(), {});
  owner.SetLimits(limits, now);
  for (const auto& report : reports) {
    owner.OnHoldingsReport({shard, Term(1), report.member, {}}, now);
  }
  owner.OnBarrierCompleted(now);
  double tick_seconds = 0;
  double report_seconds = 0;
  std::size_t changes = 0;
  for (int round = -kRounds; round < kRounds; ++round) {
    for (auto& report : reports) AddRandomDemand(report, random);
    const auto begin = CpuSeconds();
    for (const auto& report : reports) owner.OnDemandReport(report);
    const auto reported = CpuSeconds();
    now += std::chrono::milliseconds(500);
    const auto actions = owner.Tick(now);
    const auto ticked = CpuSeconds();
    AcknowledgeChanges(owner, actions, now);
    // The rounds before 0 are a warm-up that assigns the shares.
    if (round < 0) continue;
    report_seconds += reported - begin;
    tick_seconds += ticked - reported;
    changes += actions.size();
  }
  std::printf("%llu,%d,%d,%.3f,%.3f,%.1f,%.0f\n",
              static_cast<unsigned long long>(kSeed), members, budgets,
              report_seconds / kRounds * 1e3, tick_seconds / kRounds * 1e3,
              static_cast<double>(changes) / kRounds,
              HeapBytes() - heap_before);
}

}  // namespace
}  // namespace dotterellug

auto main() -> int {
  std::printf(
      "seed,members,budgets,reports_ms_per_tick,tick_ms,changes_per_tick,"
      "owner_bytes\n");
  for (const int members : {66, 132, 265, 530}) {
    dotterellug::Measure(members, 100);
  }
  for (const int budgets : {25, 50, 200, 400}) {
    dotterellug::Measure(530, budgets);
  }
  return 0;
}
