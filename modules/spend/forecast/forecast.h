#pragma once

#include <cstdint>
#include <vector>

#include "core/errors/error.h"
#include "core/ids/ids.h"
#include "spend/report/monthly_report.h"
#include "spend/usage/usage_record.h"

namespace dotterellug {

// Accelerator-hours of one day.
struct DailyHours {
  DayNumber day;
  double hours = 0;
};

struct Forecast {
  CalendarMonth month;
  double hours = 0;
  // The month is expected within this range in `coverage` of all cases.
  double low = 0;
  double high = 0;
  double coverage = 0.8;
};

struct ForecastOptions {
  // Days that determine growth and weekly pattern; older ones are ignored.
  std::int64_t history_days = 84;
  // Least days for a forecast: two whole weeks to tell growth from the week.
  std::int64_t least_days = 14;
};

// Forecast of a month's accelerator-hours from daily sums: daily growth by
// regression on the logarithm with a factor per weekday. The range comes from
// the same method's errors on earlier parts of the history, and from the spread
// of the regression where the history is too short for that. Days may be
// missing; days without usage are left out of the regression. kInvalidArgument
// when fewer than `least_days` days before the month have usage.
auto ForecastMonth(const CalendarMonth& month,
                   const std::vector<DailyHours>& history,
                   const ForecastOptions& options = {}) -> Result<Forecast>;

// Accelerator-hours per day, busy, idle and cold together, over all shards.
auto DailyHoursOf(const std::vector<StoredDay>& days)
    -> std::vector<DailyHours>;

}  // namespace dotterellug
