#include "admission/retry/retry_budget.h"

#include <algorithm>

namespace dotterellug {
namespace {

auto WholeSeconds(Timestamp now) -> std::int64_t {
  return std::chrono::floor<std::chrono::seconds>(now.time_since_epoch())
      .count();
}

}  // namespace

auto RetryBudget::RecordFirstAttempt(const ClientAccountId& account,
                                     Timestamp now) -> void {
  ++CurrentInterval(account, now).requests;
}

auto RetryBudget::TryRetry(const ClientAccountId& account, Timestamp now)
    -> bool {
  auto& current = CurrentInterval(account, now);
  const auto oldest_second =
      WholeSeconds(now) - static_cast<std::int64_t>(kIntervalCount) + 1;
  std::int64_t requests = 0;
  std::int64_t retries = 0;
  for (const auto& interval : windows_[account]) {
    if (interval.start_second > oldest_second) requests += interval.requests;
    if (interval.start_second >= oldest_second) retries += interval.retries;
  }
  const auto retry_limit =
      std::max(options_.min_retry_limit,
               requests * options_.max_retry_fraction.Value() / kWhole.Value());
  if (retries + 1 > retry_limit) return false;
  ++current.retries;
  return true;
}

auto RetryBudget::CurrentInterval(const ClientAccountId& account, Timestamp now)
    -> Interval& {
  const auto second = WholeSeconds(now);
  auto& interval =
      windows_[account][static_cast<std::uint64_t>(second) % kIntervalCount];
  if (interval.start_second != second) interval = Interval{second, 0, 0};
  return interval;
}

}  // namespace dotterellug
