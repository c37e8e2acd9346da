#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "core/ids/ids.h"
#include "spend/usage/day_usage.h"
#include "spend/usage/usage_record.h"

namespace dotterellug {

struct CalendarMonth {
  int year = 1970;
  int month = 1;  // 1 to 12

  auto Next() const -> CalendarMonth;
  auto FirstDay() const -> DayNumber;
  auto Days() const -> std::int64_t;
};

struct StoredDay {
  DayNumber day;
  DayUsage usage;
};

// What an account pays for: its own accelerator time, and a part of the idle
// and cold time in proportion to it.
struct AccountSpend {
  Usage usage;
  double busy_hours = 0;
  double idle_hours = 0;
  double cold_hours = 0;
  double cost = 0;
  std::map<ModelId, double> cost_by_model;
  std::map<std::string, double> cost_by_class;
};

struct MonthlyReport {
  CalendarMonth month;
  // Days of the month that have stored usage.
  std::int64_t days_with_usage = 0;
  std::map<ClientAccountId, AccountSpend> accounts;
  double total_hours = 0;
  double total_cost = 0;
  // Parts of the total time that served no request.
  double idle_part = 0;
  double cold_part = 0;
};

// Sums the days of the month; days of other months are skipped, and a day can
// occur once per shard. `price_per_hour` is the price of one accelerator-hour.
// Accounts without usage bear no idle time; if none has usage, the time appears
// in the totals only.
auto ReportMonth(const CalendarMonth& month, const std::vector<StoredDay>& days,
                 double price_per_hour) -> MonthlyReport;

}  // namespace dotterellug
