#include "spend/forecast/forecast.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <map>
#include <numeric>

namespace dotterellug {

namespace {

// Level and growth of the logarithm of daily hours, and a term per weekday.
struct Fit {
  double level = 0;  // at `origin`
  double growth = 0;
  std::int64_t origin = 0;
  std::array<double, 7> weekday{};
  // Variance of the logarithm of a day around the fit.
  double variance = 0;
  // Variance of the estimated growth.
  double growth_variance = 0;
  double center = 0;
  double count = 0;

  auto At(std::int64_t day) const -> double {
    const auto trend = level + growth * static_cast<double>(day - origin);
    // The mean of a log-normal day is above its median.
    return std::exp(trend + weekday[day % 7] + variance / 2);
  }
};

struct Line {
  double level = 0;
  double growth = 0;
  double center = 0;
  double spread = 0;
};

auto FitLine(const std::vector<DailyHours>& days,
             const std::vector<double>& values, std::int64_t origin) -> Line {
  const auto count = static_cast<double>(days.size());
  Line line;
  double mean = 0;
  for (std::size_t i = 0; i < days.size(); ++i) {
    line.center += static_cast<double>(days[i].day.Value() - origin) / count;
    mean += values[i] / count;
  }
  double covariance = 0;
  for (std::size_t i = 0; i < days.size(); ++i) {
    const auto x =
        static_cast<double>(days[i].day.Value() - origin) - line.center;
    covariance += x * (values[i] - mean);
    line.spread += x * x;
  }
  line.growth = line.spread > 0 ? covariance / line.spread : 0;
  line.level = mean - line.growth * line.center;
  return line;
}

// Alternates between the line and the weekday terms, which converges quickly
// because the weekdays are nearly even over the history.
auto FitDays(const std::vector<DailyHours>& days) -> Fit {
  Fit fit;
  fit.origin = days.front().day.Value();
  fit.count = static_cast<double>(days.size());
  std::vector<double> values(days.size());
  Line line;
  for (int round = 0; round < 5; ++round) {
    for (std::size_t i = 0; i < days.size(); ++i) {
      values[i] =
          std::log(days[i].hours) - fit.weekday[days[i].day.Value() % 7];
    }
    line = FitLine(days, values, fit.origin);
    std::array<double, 7> sums{};
    std::array<double, 7> counts{};
    for (const auto& day : days) {
      const auto x = static_cast<double>(day.day.Value() - fit.origin);
      const auto index = static_cast<std::size_t>(day.day.Value() % 7);
      sums[index] += std::log(day.hours) - line.level - line.growth * x;
      counts[index] += 1;
    }
    for (std::size_t i = 0; i < 7; ++i) {
      fit.weekday[i] = counts[i] > 0 ? sums[i] / counts[i] : 0;
    }
  }
  fit.center = line.center;
  double squares = 0;
  for (const auto& day : days) {
    const auto x = static_cast<double>(day.day.Value() - fit.origin);
    const auto rest = std::log(day.hours) - line.level - line.growth * x -
                      fit.weekday[day.day.Value() % 7];
    squares += rest * rest;
  }
  // Two parameters of the line and six independent weekday terms.
  fit.variance = squares / std::max(1.0, fit.count - 8);
  fit.growth_variance = line.spread > 0 ? fit.variance / line.spread : 0;
  // Growth that is small against its own error is mostly noise, which a month
  // ahead would multiply.
  const auto squared = line.growth * line.growth;
  const auto trust =
      squared > 0 ? squared / (squared + fit.growth_variance) : 0;
  fit.growth = line.growth * trust;
  fit.level = line.level + (line.growth - fit.growth) * line.center;
  return fit;
}

auto SumDays(const Fit& fit, std::int64_t first, std::int64_t count) -> double {
  double sum = 0;
  for (std::int64_t day = first; day < first + count; ++day) {
    sum += fit.At(day);
  }
  return sum;
}

auto Select(const std::vector<DailyHours>& history, std::int64_t from,
            std::int64_t until) -> std::vector<DailyHours> {
  std::vector<DailyHours> selected;
  for (const auto& day : history) {
    const auto number = day.day.Value();
    if (number < from || number >= until || day.hours <= 0) continue;
    selected.push_back(day);
  }
  std::sort(
      selected.begin(), selected.end(),
      [](const DailyHours& a, const DailyHours& b) { return a.day < b.day; });
  return selected;
}

// Relative spread of the sum of a month: each day's own noise partly cancels,
// the errors of level and growth do not.
auto RegressionSpread(const Fit& fit, std::int64_t first, std::int64_t count)
    -> double {
  const auto middle =
      static_cast<double>(first - fit.origin) + static_cast<double>(count) / 2;
  const auto distance = middle - fit.center;
  return std::sqrt(fit.variance / static_cast<double>(count) +
                   fit.variance / fit.count +
                   fit.growth_variance * distance * distance);
}

// Relative errors of the method on windows that end earlier in the history and
// leave out as many days before the month as the forecast does.
auto PastErrors(const std::vector<DailyHours>& history, std::int64_t gap,
                std::int64_t count, const ForecastOptions& options)
    -> std::vector<double> {
  std::vector<double> errors;
  const auto last = history.back().day.Value() + 1;
  const auto begin = history.front().day.Value();
  for (auto end = last - gap - count; end - begin >= options.least_days;
       end -= 7) {
    const auto days = Select(history, end - options.history_days, end);
    if (static_cast<std::int64_t>(days.size()) < options.least_days) break;
    const auto actual = Select(history, end + gap, end + gap + count);
    if (static_cast<std::int64_t>(actual.size()) < count) continue;
    double sum = 0;
    for (const auto& day : actual) sum += day.hours;
    const auto predicted = SumDays(FitDays(days), end + gap, count);
    errors.push_back(std::log(sum / predicted));
  }
  return errors;
}

}  // namespace

auto ForecastMonth(const CalendarMonth& month,
                   const std::vector<DailyHours>& history,
                   const ForecastOptions& options) -> Result<Forecast> {
  const auto first = month.FirstDay().Value();
  auto known = Select(history, std::numeric_limits<std::int64_t>::min(), first);
  const auto begin = known.empty() ? first : known.back().day.Value() + 1;
  const auto days = Select(known, begin - options.history_days, begin);
  if (static_cast<std::int64_t>(days.size()) < options.least_days) {
    return Fail(ErrorKind::kInvalidArgument,
                "only " + std::to_string(days.size()) +
                    " days with usage before the month",
                "repeat the forecast when at least " +
                    std::to_string(options.least_days) + " days are stored");
  }
  const auto fit = FitDays(days);
  Forecast forecast;
  forecast.month = month;
  forecast.hours = SumDays(fit, first, month.Days());
  // 1.28 standard deviations cover 80% of a normal distribution.
  auto spread = RegressionSpread(fit, first, month.Days());
  const auto errors = PastErrors(known, first - begin, month.Days(), options);
  if (errors.size() < 4) {
    // The regression takes the days' noise as independent, and the history is
    // too short to show whether it is.
    spread *= 2;
  } else {
    const auto squares =
        std::inner_product(errors.begin(), errors.end(), errors.begin(), 0.0);
    const auto past = std::sqrt(squares / static_cast<double>(errors.size()));
    spread = std::max(spread, past);
  }
  forecast.low = forecast.hours * std::exp(-1.28 * spread);
  forecast.high = forecast.hours * std::exp(1.28 * spread);
  return forecast;
}

auto DailyHoursOf(const std::vector<StoredDay>& days)
    -> std::vector<DailyHours> {
  constexpr double kMicrosecondsPerHour = 3.6e9;
  std::map<DayNumber, double> sums;
  for (const auto& day : days) {
    const auto time = day.usage.Total().busy + day.usage.TotalOverhead().idle +
                      day.usage.TotalOverhead().cold;
    sums[day.day] += static_cast<double>(time.Value()) / kMicrosecondsPerHour;
  }
  std::vector<DailyHours> result;
  result.reserve(sums.size());
  for (const auto& [day, hours] : sums) result.push_back({day, hours});
  return result;
}

}  // namespace dotterellug
