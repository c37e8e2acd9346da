#include "spend/usage/usage_counter.h"

#include <algorithm>
#include <utility>

namespace dotterellug {

UsageCounter::UsageCounter(InstanceId instance, Incarnation incarnation)
    : reporter_{std::move(instance), incarnation} {}

auto UsageCounter::Add(DayNumber day, const UsageKey& key, const Usage& usage)
    -> void {
  StartDay(day);
  present_.usage[key] += usage;
}

auto UsageCounter::AddOverhead(DayNumber day, const Overhead& overhead)
    -> void {
  StartDay(day);
  present_.overhead += overhead;
}

auto UsageCounter::StartDay(DayNumber day) -> void {
  if (has_sums_ && present_.day != day) CloseReport();
  present_.day = day;
  has_sums_ = true;
}

auto UsageCounter::CloseReport() -> void {
  if (!has_sums_) return;
  if (present_.day != last_day_) last_of_day_ = 0;
  present_.reporter = reporter_;
  present_.sequence = ++last_sequence_;
  present_.after = last_of_day_;
  last_day_ = present_.day;
  last_of_day_ = last_sequence_;
  closed_.push_back(std::move(present_));
  present_ = UsageReport();
  has_sums_ = false;
}

auto UsageCounter::Acknowledge(std::int64_t sequence) -> void {
  closed_.erase(std::remove_if(closed_.begin(), closed_.end(),
                               [&](const UsageReport& report) {
                                 return report.sequence == sequence;
                               }),
                closed_.end());
}

}  // namespace dotterellug
