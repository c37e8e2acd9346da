#include "spend/usage/usage_reporter.h"

#include <algorithm>
#include <utility>

namespace dotterellug {
namespace {

// A daemon that has heard of the duty within this time before it takes over
// knows which windows its predecessor had announced. Longer than the time that
// a takeover needs.
constexpr auto kAnnouncementLifetime = std::chrono::seconds(15);

}  // namespace

UsageReporter::UsageReporter(UsageReporterOptions options)
    : options_(options) {}

auto UsageReporter::WindowAt(FleetTime time) const -> UsageWindow {
  return UsageWindow(time.time_since_epoch() / options_.window_length);
}

auto UsageReporter::EndOf(UsageWindow window) const -> Duration {
  return options_.window_length * window.Next().Value();
}

auto UsageReporter::LastEnded(FleetTime time, Duration after) const
    -> UsageWindow {
  return WindowAt(time - after) - UsageWindow(1);
}

auto UsageReporter::OldestDue(FleetTime time) const -> UsageWindow {
  return LastEnded(time, options_.due_after).Next();
}

auto UsageReporter::Announced() const -> UsageWindow {
  return std::max(own_announced_, others_announced_);
}

auto UsageReporter::OnAnnounced(UsageWindow window, Timestamp now) -> void {
  heard_at_ = now;
  // Others pass on what this process announced.
  if (window <= own_announced_) return;
  others_announced_ = std::max(others_announced_, window);
}

auto UsageReporter::BeginHolding(const Situation& situation, Timestamp now)
    -> void {
  holder_ = true;
  record_known_ = false;
  retry_at_ = Timestamp{};
  const bool heard = heard_at_ && now - *heard_at_ < kAnnouncementLifetime;
  if (heard || !situation.had_predecessor) return;
  // A report of an earlier window may have been sent by the predecessor and
  // lost by the store since.
  const auto delay =
      FromSeconds(ToSeconds(options_.due_after) * options_.send_fraction);
  first_ = std::max(
      first_, LastEnded(*situation.time, delay + options_.quiet_time).Next());
}

auto UsageReporter::Step(const Situation& situation,
                         const std::function<WindowCounts(UsageWindow)>& total,
                         Timestamp now) -> std::optional<UsageReporterAction> {
  if (!situation.holder || !situation.time) {
    holder_ = holder_ && situation.holder;
    return std::nullopt;
  }
  if (!holder_) BeginHolding(situation, now);
  if (in_progress_) return std::nullopt;
  const auto time = *situation.time;
  if (!record_known_) {
    if (now < retry_at_) return std::nullopt;
    in_progress_ = true;
    return ReadUsageReports{};
  }
  Forget(time);
  const auto delay =
      FromSeconds(ToSeconds(options_.due_after) * options_.send_fraction);
  if (now >= retry_at_ && Compose(situation, total, now)) {
    in_progress_ = true;
    UsageReportRecord record;
    record.revision = revision_;
    for (const auto& [window, report] : reports_) {
      record.windows[window] = report.counts;
    }
    return WriteUsageReports{std::move(record)};
  }
  const auto announced = LastEnded(time, delay - options_.announce_time);
  if (announced > own_announced_) {
    own_announced_ = announced;
    announced_at_ = now;
  }
  if (!situation.may_send) return std::nullopt;
  const auto window = NextToSend(time, now);
  if (!window) return std::nullopt;
  in_progress_ = true;
  return SendUsageReport{*window, reports_.at(*window).counts};
}

auto UsageReporter::Compose(
    const Situation& situation,
    const std::function<WindowCounts(UsageWindow)>& total, Timestamp now)
    -> bool {
  const auto delay =
      FromSeconds(ToSeconds(options_.due_after) * options_.send_fraction);
  const auto last = LastEnded(*situation.time, delay);
  auto window =
      std::max({OldestDue(*situation.time), first_, others_announced_.Next()});
  if (!reports_.empty()) {
    window = std::max(window, reports_.rbegin()->first.Next());
  }
  // What is announced has to reach the others before it is written.
  const bool told = now - announced_at_ >= options_.announce_time;
  if (situation.counts_arrive && told) {
    for (; window <= std::min(last, own_announced_); window = window.Next()) {
      reports_[window].counts = total(window);
    }
  }
  return std::any_of(reports_.begin(), reports_.end(),
                     [](const auto& entry) { return !entry.second.stored; });
}

auto UsageReporter::NextToSend(FleetTime time, Timestamp now) const
    -> std::optional<UsageWindow> {
  const auto oldest = OldestDue(time);
  for (const auto& [window, report] : reports_) {
    if (window < oldest || !report.stored || report.taken) continue;
    if (uncertain_.count(window) > 0 || now < report.retry_at) continue;
    return window;
  }
  return std::nullopt;
}

auto UsageReporter::Forget(FleetTime time) -> void {
  const auto oldest = OldestDue(time);
  while (reports_.size() > options_.kept_windows &&
         reports_.begin()->first < oldest) {
    uncertain_.erase(reports_.begin()->first);
    reports_.erase(reports_.begin());
  }
}

auto UsageReporter::OnRead(const UsageReportRecord& record) -> void {
  in_progress_ = false;
  record_known_ = true;
  revision_ = record.revision;
  for (const auto& [window, counts] : record.windows) {
    auto& report = reports_[window];
    if (!report.stored) {
      report.counts = counts;
      report.stored = true;
    } else if (report.counts != counts) {
      // The store lost this process's report, and another one was written.
      uncertain_.insert(window);
    }
  }
  for (auto report = reports_.begin(); report != reports_.end();) {
    // Another holder has passed this window since its counts were determined.
    const bool passed =
        !report->second.stored && report->first <= others_announced_;
    report = passed ? reports_.erase(report) : std::next(report);
  }
}

auto UsageReporter::OnReadFailed(Timestamp now) -> void {
  in_progress_ = false;
  retry_at_ = now + options_.retry_pause;
}

auto UsageReporter::OnWritten(std::int64_t revision) -> void {
  in_progress_ = false;
  revision_ = revision;
  for (auto& [window, report] : reports_) report.stored = true;
}

auto UsageReporter::OnWriteFailed(Timestamp now) -> void {
  in_progress_ = false;
  record_known_ = false;
  retry_at_ = now + options_.retry_pause;
}

auto UsageReporter::OnSent(UsageWindow window, bool taken, Timestamp now)
    -> void {
  in_progress_ = false;
  const auto found = reports_.find(window);
  if (found == reports_.end()) return;
  found->second.taken = taken;
  found->second.retry_at = now + options_.retry_pause;
  if (taken) last_reported_ = std::max(last_reported_, window);
}

}  // namespace dotterellug
