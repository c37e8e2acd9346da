#include "spend/usage/usage_ledger.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "core/variant/overloaded.h"

namespace dotterellug {

UsageLedger::UsageLedger(Duration write_interval)
    : write_interval_(write_interval) {}

auto UsageLedger::Handle(Timestamp now, const UsageEvent& event) -> void {
  std::visit(Overloaded{[&](const UsageReport& report) {
                          AddReport(days_[report.day], report);
                        },
                        [&](const DayRead& read) {
                          auto& day = days_[read.day];
                          if (!day.store_call || day.writing) return;
                          day.store_call = false;
                          day.stored = read.usage;
                          day.version = read.version;
                        },
                        [&](const DayWritten& written) {
                          auto& day = days_[written.day];
                          if (!day.store_call || !day.writing) return;
                          day.store_call = false;
                          day.stored = std::move(day.writing);
                          day.writing.reset();
                          day.version = written.version;
                        },
                        [&](const DayUncertain& uncertain) {
                          auto& day = days_[uncertain.day];
                          day.store_call = false;
                          day.writing.reset();
                          day.stored.reset();
                          day.next_write = now + write_interval_ / 4;
                        }},
             event);
}

auto UsageLedger::Step(Timestamp now) -> std::vector<UsageAction> {
  std::vector<UsageAction> actions;
  for (auto day = days_.begin(); day != days_.end();) {
    auto added = StepDay(now, day->first, day->second);
    std::move(added.begin(), added.end(), std::back_inserter(actions));
    // A past day without reports is read again if a late one arrives.
    const bool past = std::next(day) != days_.end();
    const bool done = day->second.reports.empty() && !day->second.store_call;
    day = past && done ? days_.erase(day) : std::next(day);
  }
  return actions;
}

auto UsageLedger::AddReport(Day& day, const UsageReport& report) -> void {
  const bool repeated = std::any_of(
      day.reports.begin(), day.reports.end(), [&](const UsageReport& other) {
        return other.reporter == report.reporter &&
               other.sequence == report.sequence;
      });
  if (!repeated) day.reports.push_back(report);
}

auto UsageLedger::StepDay(Timestamp now, DayNumber number, Day& day)
    -> std::vector<UsageAction> {
  if (day.store_call || day.reports.empty()) return {};
  if (!day.stored) {
    if (now < day.next_write) return {};
    day.store_call = true;
    return {ReadDay{number}};
  }
  auto actions = Stored(day);
  if (day.reports.empty() || now < day.next_write) return actions;
  std::sort(day.reports.begin(), day.reports.end(),
            [](const UsageReport& a, const UsageReport& b) {
              return std::tie(a.reporter, a.sequence) <
                     std::tie(b.reporter, b.sequence);
            });
  auto next = *day.stored;
  bool added = false;
  for (const auto& report : day.reports) added |= next.Add(report);
  // What is left waits for a report that was lost on the way.
  if (!added) return actions;
  day.store_call = true;
  day.writing = next;
  day.next_write = now + write_interval_;
  actions.emplace_back(WriteDay{number, day.version, std::move(next)});
  return actions;
}

// Acknowledges and forgets the reports that the stored object contains.
auto UsageLedger::Stored(Day& day) -> std::vector<UsageAction> {
  std::vector<UsageAction> actions;
  const auto kept = std::stable_partition(
      day.reports.begin(), day.reports.end(), [&](const UsageReport& report) {
        return day.stored->LastOf(report.reporter) < report.sequence;
      });
  for (auto report = kept; report != day.reports.end(); ++report) {
    actions.emplace_back(AcknowledgeReport{report->reporter, report->sequence});
  }
  day.reports.erase(kept, day.reports.end());
  return actions;
}

}  // namespace dotterellug
