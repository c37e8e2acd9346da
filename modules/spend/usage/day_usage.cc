#include "spend/usage/day_usage.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace dotterellug {

auto DayUsage::Add(const UsageReport& report) -> bool {
  if (LastOf(report.reporter) != report.after) return false;
  positions_[report.reporter] = report.sequence;
  for (const auto& [key, usage] : report.usage) sums_[key] += usage;
  overhead_ += report.overhead;
  return true;
}

auto DayUsage::Merge(const DayUsage& other) -> void {
  for (const auto& [key, usage] : other.sums_) sums_[key] += usage;
  overhead_ += other.overhead_;
  for (const auto& [reporter, sequence] : other.positions_) {
    auto& last = positions_[reporter];
    last = std::max(last, sequence);
  }
}

auto DayUsage::Total() const -> Usage {
  Usage total;
  for (const auto& [key, usage] : sums_) total += usage;
  return total;
}

auto DayUsage::LastOf(const Reporter& reporter) const -> std::int64_t {
  const auto found = positions_.find(reporter);
  return found == positions_.end() ? 0 : found->second;
}

auto DayUsage::Encode() const -> std::string {
  auto sums = nlohmann::json::array();
  for (const auto& [key, usage] : sums_) {
    sums.push_back({key.account.Value(), key.model.Value(), key.priority_class,
                    usage.busy.Value(), usage.prompt_tokens.Value(),
                    usage.generated_tokens.Value(), usage.requests});
  }
  auto positions = nlohmann::json::array();
  for (const auto& [reporter, sequence] : positions_) {
    positions.push_back(
        {reporter.instance.Value(), reporter.incarnation.Value(), sequence});
  }
  const nlohmann::json day{{"sums", std::move(sums)},
                           {"idle", overhead_.idle.Value()},
                           {"cold", overhead_.cold.Value()},
                           {"positions", std::move(positions)}};
  return day.dump();
}

auto DayUsage::Decode(std::string_view text) -> Result<DayUsage> {
  try {
    const auto json = nlohmann::json::parse(text);
    DayUsage day;
    for (const auto& row : json.at("sums")) {
      const UsageKey key{ClientAccountId(row.at(0).get<std::string>()),
                         ModelId(row.at(1).get<std::string>()),
                         row.at(2).get<std::string>()};
      day.sums_[key] = Usage{AcceleratorTime(row.at(3).get<std::int64_t>()),
                             Tokens(row.at(4).get<std::int64_t>()),
                             Tokens(row.at(5).get<std::int64_t>()),
                             row.at(6).get<std::int64_t>()};
    }
    day.overhead_.idle = AcceleratorTime(json.at("idle").get<std::int64_t>());
    day.overhead_.cold = AcceleratorTime(json.at("cold").get<std::int64_t>());
    for (const auto& row : json.at("positions")) {
      const Reporter reporter{InstanceId(row.at(0).get<std::string>()),
                              Incarnation(row.at(1).get<std::int64_t>())};
      day.positions_[reporter] = row.at(2).get<std::int64_t>();
    }
    return day;
  } catch (const nlohmann::json::exception& failure) {
    return Fail(ErrorKind::kProtocol,
                std::string("day usage is not readable: ") + failure.what(),
                "restore the object from the store's history");
  }
}

auto DayUsageName(const ShardId& shard, DayNumber day) -> std::string {
  return "usage/" + shard.Value() + "/" + std::to_string(day.Value());
}

}  // namespace dotterellug
