#include "spend/report/monthly_report.h"

#include <set>

namespace dotterellug {

namespace {

constexpr double kMicrosecondsPerHour = 3.6e9;

auto Hours(AcceleratorTime time) -> double {
  return static_cast<double>(time.Value()) / kMicrosecondsPerHour;
}

auto IsLeapYear(int year) -> bool {
  return (year % 4 == 0 && year % 100 != 0) || year % 400 == 0;
}

auto AddDay(const DayUsage& day, double price, MonthlyReport& report,
            Overhead& overhead, double& busy) -> void {
  overhead += day.TotalOverhead();
  for (const auto& [key, usage] : day.Sums()) {
    auto& account = report.accounts[key.account];
    const auto hours = Hours(usage.busy);
    account.usage += usage;
    account.busy_hours += hours;
    account.cost_by_model[key.model] += hours * price;
    account.cost_by_class[key.priority_class] += hours * price;
    busy += hours;
  }
}

}  // namespace

auto CalendarMonth::Next() const -> CalendarMonth {
  if (month == 12) return {year + 1, 1};
  return {year, month + 1};
}

auto CalendarMonth::FirstDay() const -> DayNumber {
  std::int64_t days = 0;
  for (int passed = 1970; passed < year; ++passed) {
    days += IsLeapYear(passed) ? 366 : 365;
  }
  for (int passed = 1; passed < month; ++passed) {
    days += CalendarMonth{year, passed}.Days();
  }
  return DayNumber(days);
}

auto CalendarMonth::Days() const -> std::int64_t {
  if (month == 2) return IsLeapYear(year) ? 29 : 28;
  const bool short_month =
      month == 4 || month == 6 || month == 9 || month == 11;
  return short_month ? 30 : 31;
}

auto ReportMonth(const CalendarMonth& month, const std::vector<StoredDay>& days,
                 double price_per_hour) -> MonthlyReport {
  MonthlyReport report;
  report.month = month;
  Overhead overhead;
  double busy = 0;
  std::set<DayNumber> seen;
  for (const auto& day : days) {
    const auto offset = (day.day - month.FirstDay()).Value();
    if (offset < 0 || offset >= month.Days()) continue;
    seen.insert(day.day);
    AddDay(day.usage, price_per_hour, report, overhead, busy);
  }
  const auto idle = Hours(overhead.idle);
  const auto cold = Hours(overhead.cold);
  report.days_with_usage = static_cast<std::int64_t>(seen.size());
  report.total_hours = busy + idle + cold;
  report.total_cost = report.total_hours * price_per_hour;
  if (report.total_hours > 0) {
    report.idle_part = idle / report.total_hours;
    report.cold_part = cold / report.total_hours;
  }
  if (busy <= 0) return report;
  const auto factor = (busy + idle + cold) / busy;
  for (auto& [id, account] : report.accounts) {
    account.idle_hours = idle * account.busy_hours / busy;
    account.cold_hours = cold * account.busy_hours / busy;
    account.cost = account.busy_hours * factor * price_per_hour;
    for (auto& [model, cost] : account.cost_by_model) cost *= factor;
    for (auto& [name, cost] : account.cost_by_class) cost *= factor;
  }
  return report;
}

}  // namespace dotterellug
