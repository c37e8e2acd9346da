#pragma once

#include <cstdint>
#include <deque>

#include "core/ids/ids.h"
#include "spend/usage/usage_record.h"

namespace dotterellug {

// Sums usage in one daemon. Closed reports are kept until the owner says that
// they are stored, so that a change of owner loses nothing; a dead daemon loses
// what it had not reported, at most one report interval (a minute with the
// default of the caller's timer).
class UsageCounter {
 public:
  UsageCounter(InstanceId instance, Incarnation incarnation);

  // Sums up; a new day closes the report of the old one.
  auto Add(DayNumber day, const UsageKey& key, const Usage& usage) -> void;
  auto AddOverhead(DayNumber day, const Overhead& overhead) -> void;
  // Closes the present sums. Call it every 30 s or less.
  auto CloseReport() -> void;
  // The reports that are not known to be stored. Send each when it is closed,
  // and all of them again after a timeout or a change of owner.
  auto Unstored() const -> const std::deque<UsageReport>& { return closed_; }
  // The owner stored this report.
  auto Acknowledge(std::int64_t sequence) -> void;

 private:
  auto StartDay(DayNumber day) -> void;

  Reporter reporter_;
  std::int64_t last_sequence_ = 0;
  std::int64_t last_of_day_ = 0;
  DayNumber last_day_;
  bool has_sums_ = false;
  UsageReport present_;
  std::deque<UsageReport> closed_;
};

}  // namespace dotterellug
