#include "serving/load/work_times.h"

#include <algorithm>

namespace dotterellug::serving {
namespace {

// Least time that 1,000 prompt tokens are taken to need, a quarter of the
// default: prompts of equal length do not tell their part of the time, and
// queued prompts must still count.
constexpr Duration kLeastPrefill = WorkTimes{}.prefill_1000_tokens / 4;

}  // namespace

auto WorkTimeEstimate::ObserveFirstEvent(const PoolId& pool,
                                         std::int64_t prefill_tokens,
                                         Duration time) -> void {
  first_events_.Observe(pool.Value(), prefill_tokens, time);
}

auto WorkTimeEstimate::ObserveSlot(const PoolId& pool, Duration time) -> void {
  slots_.Observe(pool.Value(), 0, time);
}

auto WorkTimeEstimate::Expected(const PoolId& pool) const -> WorkTimes {
  WorkTimes times;
  if (const auto slot = slots_.Expected(pool.Value(), 0)) times.slot = *slot;
  const auto without_prompt = first_events_.Expected(pool.Value(), 0);
  const auto with_prompt = first_events_.Expected(pool.Value(), 1000);
  if (!without_prompt || !with_prompt) return times;
  times.first_event = *without_prompt;
  times.prefill_1000_tokens =
      std::max<Duration>(*with_prompt - *without_prompt, kLeastPrefill);
  times.observed = true;
  return times;
}

}  // namespace dotterellug::serving
