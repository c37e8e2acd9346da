#include "daemon/gateway/usage_meter.h"

#include <utility>

namespace dotterellug::gateway {
namespace {

auto ReporterOptions(const DutySettings& settings) -> UsageReporterOptions {
  UsageReporterOptions options;
  options.window_length = settings.usage_window;
  options.due_after = settings.usage_due;
  return options;
}

}  // namespace

UsageMeter::UsageMeter(Reporter self, const DutySettings& settings)
    : table_(std::move(self)), reporter_(ReporterOptions(settings)) {}

auto UsageMeter::Count(const ClientAccountId& account, Timestamp began,
                       Timestamp now) -> void {
  const auto time = TimeAt(began, now);
  if (account.Empty() || !time) return;
  table_.Count(reporter_.WindowAt(*time), account, now);
}

auto UsageMeter::Tick(WallTime wall) -> void {
  const auto now = SuspendAwareNow();
  clock_.OnWallClock(wall, now);
  if (const auto time = clock_.Now(now)) {
    table_.DropBefore(reporter_.OldestDue(*time));
  }
}

auto UsageMeter::MakeNews(Timestamp now) -> fleet::UsageNews {
  fleet::UsageNews news;
  if (const auto own = clock_.OwnReading(SuspendAwareNow())) news.time = *own;
  news.announced_window = reporter_.Announced();
  news.rows = table_.Share(now);
  return news;
}

auto UsageMeter::OnReport(const fleet::FleetReport& report, Timestamp now)
    -> void {
  if (!report.usage) return;
  const auto& news = *report.usage;
  if (news.time != FleetTime{}) {
    clock_.OnReport(report.from, news.time, SuspendAwareNow());
  }
  if (news.announced_window > UsageWindow()) {
    reporter_.OnAnnounced(news.announced_window, now);
  }
  table_.Merge(news.rows, report.level == fleet::HubLevel::kZone, now);
}

auto UsageMeter::MakeAnswer() -> std::optional<fleet::UsageNews> {
  fleet::UsageNews news;
  const auto time = clock_.Now(SuspendAwareNow());
  if (!time) return std::nullopt;
  news.time = *time;
  news.announced_window = reporter_.Announced();
  return news;
}

auto UsageMeter::OnSummary(const fleet::FleetSummary& summary, Timestamp now)
    -> void {
  if (!summary.usage) return;
  clock_.OnHubTime(summary.usage->time, SuspendAwareNow());
  if (summary.usage->announced_window > UsageWindow()) {
    reporter_.OnAnnounced(summary.usage->announced_window, now);
  }
}

auto UsageMeter::TimeAt(Timestamp at, Timestamp now) const
    -> std::optional<FleetTime> {
  const auto time = clock_.Now(SuspendAwareNow());
  if (!time) return std::nullopt;
  return *time - (now - at);
}

}  // namespace dotterellug::gateway
