// Measures the time and the number of memory allocations of a local admission
// decision. Prints CSV: meter,decisions,admitted,ns_per_decision,allocations.

#include <cstdio>
#include <cstdlib>
#include <new>
#include <string>
#include <vector>

#include "budget/budget.h"
#include "core/random/random.h"

namespace {
std::int64_t allocations = 0;
}  // namespace

// Count the memory allocations of the whole program.
auto operator new(std::size_t size) -> void* {
  ++allocations;
  if (void* memory = std::malloc(size)) return memory;
  throw std::bad_alloc();
}
auto operator delete(void* memory) noexcept -> void { std::free(memory); }
auto operator delete(void* memory, std::size_t) noexcept -> void {
  std::free(memory);
}

namespace dotterellug {
namespace {

constexpr int kBudgets = 100;
constexpr std::int64_t kDecisions = 5'000'000;

auto Measure(const char* name, const BudgetLimit& limit) -> void {
  const ShardId shard("budget-0");
  BudgetHolder holder(shard, {InstanceId("a"), Incarnation(1)});
  BudgetLimits limits{RevisionNumber(1), {}};
  std::vector<BudgetId> budgets;
  for (int i = 0; i < kBudgets; ++i) {
    budgets.emplace_back("account-" + std::to_string(i));
    limits.entries.push_back({budgets.back(), limit});
  }
  Timestamp now{};
  holder.SetLimits(limits, now);
  holder.Acknowledge(Term(1));
  for (const auto& budget : budgets) {
    holder.OnChangeShare({shard, Term(1), budget, 1, kWhole, MicroTokens(0)},
                         now);
  }
  Random random(1);
  std::int64_t admitted = 0;
  const auto allocations_before = allocations;
  const auto begin = MonotonicNow();
  for (std::int64_t i = 0; i < kDecisions; ++i) {
    now += Duration(1);
    const auto& budget = budgets[random.Below(kBudgets)];
    const auto charge = holder.TryCharge(budget, Tokens(10), now);
    if (!charge) continue;
    ++admitted;
    holder.CompleteCharge(budget, *charge, Tokens(8), now);
  }
  const auto elapsed = MonotonicNow() - begin;
  std::printf("%s,%lld,%lld,%.1f,%lld\n", name,
              static_cast<long long>(kDecisions),
              static_cast<long long>(admitted),
              static_cast<double>(elapsed.count()) * 1000.0 / kDecisions,
              static_cast<long long>(allocations - allocations_before));
}

}  // namespace
}  // namespace dotterellug

auto main() -> int {
  std::printf("meter,decisions,admitted,ns_per_decision,allocations\n");
  // The demand is 100,000 tokens/s per budget, twice the rate limit.
  dotterellug::Measure("rate",
                       dotterellug::RateLimit{dotterellug::Tokens(50'000),
                                              dotterellug::Tokens(50'000)});
  dotterellug::Measure("concurrency", dotterellug::ConcurrencyLimit{100});
  return 0;
}
