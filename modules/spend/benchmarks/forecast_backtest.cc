// Backtest of the forecast on generated histories with weekly pattern, growth,
// noise, drift of the growth and jumps of the level. Prints CSV.
// Usage: forecast_backtest [HISTORIES]

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "core/random/random.h"
#include "spend/spend.h"

namespace dotterellug {
namespace {

struct Shape {
  std::string name;
  double growth_per_day = 0.002;
  double noise = 0.05;
  // Growth changes each day by up to this much.
  double drift = 0;
  // Chance per day that the level changes by up to 20%.
  double jump = 0;
};

auto Generate(const Shape& shape, std::int64_t first, std::int64_t count,
              Random& random) -> std::vector<DailyHours> {
  std::vector<DailyHours> days;
  days.reserve(static_cast<std::size_t>(count));
  auto growth = shape.growth_per_day * (2 * random.Uniform() - 0.5);
  double level = std::log(1000);
  for (std::int64_t day = first; day < first + count; ++day) {
    growth += shape.drift * (2 * random.Uniform() - 1);
    level += growth;
    if (random.Uniform() < shape.jump) level += 0.4 * random.Uniform() - 0.2;
    const auto weekend = day % 7 >= 2 && day % 7 <= 3 ? -0.4 : 0.0;
    // The sum of 12 uniform numbers is close to a normal distribution.
    double normal = -6;
    for (int i = 0; i < 12; ++i) normal += random.Uniform();
    days.push_back(
        {DayNumber(day), std::exp(level + weekend + shape.noise * normal)});
  }
  return days;
}

auto Percentile(std::vector<double> values, double part) -> double {
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(
      part * static_cast<double>(values.size() - 1))];
}

auto Backtest(const Shape& shape, std::int64_t history_days, int histories)
    -> void {
  const CalendarMonth month{2027, 3};
  const auto first = month.FirstDay().Value();
  std::vector<double> errors;
  std::vector<double> naive;
  double covered = 0;
  double width = 0;
  for (int seed = 1; seed <= histories; ++seed) {
    Random random(static_cast<std::uint64_t>(seed));
    // The forecast is asked for ten days before the month begins.
    const auto begin = first - 10 - history_days;
    const auto days =
        Generate(shape, begin, history_days + 10 + month.Days(), random);
    const std::vector<DailyHours> known(days.begin(),
                                        days.begin() + history_days);
    double actual = 0;
    for (const auto& day : days) {
      if (day.day.Value() >= first) actual += day.hours;
    }
    const auto forecast = ForecastMonth(month, known).value();
    errors.push_back(std::abs(forecast.hours / actual - 1));
    covered += forecast.low <= actual && actual <= forecast.high ? 1 : 0;
    width += (forecast.high - forecast.low) / forecast.hours;
    // Baseline: the mean of the last 28 days.
    double recent = 0;
    for (std::size_t i = known.size() - std::min<std::size_t>(28, known.size());
         i < known.size(); ++i) {
      recent += known[i].hours;
    }
    recent *= static_cast<double>(month.Days()) /
              static_cast<double>(std::min<std::size_t>(28, known.size()));
    naive.push_back(std::abs(recent / actual - 1));
  }
  std::printf("%s,%lld,%.4f,%.4f,%.4f,%.4f,%.3f,%.3f\n", shape.name.c_str(),
              static_cast<long long>(history_days), Percentile(errors, 0.5),
              Percentile(errors, 0.9), Percentile(naive, 0.5),
              Percentile(naive, 0.9), covered / histories, width / histories);
}

}  // namespace
}  // namespace dotterellug

auto main(int argc, char** argv) -> int {
  using dotterellug::Backtest;
  const int histories = argc > 1 ? std::atoi(argv[1]) : 400;
  std::printf("# seeds 1..%d; range states 0.80 coverage\n", histories);
  std::printf(
      "history,days,median_error,p90_error,last_28_days_median_error,"
      "last_28_days_p90_error,range_coverage,range_width\n");
  for (const std::int64_t days : {21, 60, 120, 240}) {
    Backtest({"steady", 0, 0.05, 0, 0}, days, histories);
    Backtest({"growth", 0.004, 0.05, 0, 0}, days, histories);
    Backtest({"noisy", 0.004, 0.2, 0, 0}, days, histories);
    Backtest({"drift", 0.004, 0.05, 0.0003, 0}, days, histories);
    Backtest({"jumps", 0.004, 0.05, 0, 0.02}, days, histories);
  }
  return 0;
}
