#include "admission/retry/retry_budget.h"

#include <algorithm>

namespace dotterellug {
namespace {

auto SecondOf(Timestamp now) -> std::int64_t {
  return std::chrono::floor<std::chrono::seconds>(now.time_since_epoch())
      .count();
}

}  // namespace

auto RetryBudget::CountRequest(const ClientAccountId& account, Timestamp now)
    -> void {
  ++Current(account, now).requests;
}

auto RetryBudget::TryRetry(const ClientAccountId& account, Timestamp now)
    -> bool {
  auto& current = Current(account, now);
  const auto oldest = SecondOf(now) - static_cast<std::int64_t>(kIntervals) + 1;
  std::int64_t requests = 0;
  std::int64_t retries = 0;
  for (const auto& interval : windows_[account]) {
    if (interval.second > oldest) requests += interval.requests;
    if (interval.second >= oldest) retries += interval.retries;
  }
  const auto allowed = std::max(
      options_.least, requests * options_.ratio.Value() / kWhole.Value());
  if (retries + 1 > allowed) return false;
  ++current.retries;
  return true;
}

auto RetryBudget::Current(const ClientAccountId& account, Timestamp now)
    -> Interval& {
  const auto second = SecondOf(now);
  auto& interval =
      windows_[account][static_cast<std::uint64_t>(second) % kIntervals];
  if (interval.second != second) interval = Interval{second, 0, 0};
  return interval;
}

}  // namespace dotterellug
