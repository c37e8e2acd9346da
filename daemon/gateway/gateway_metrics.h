#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace dotterellug::gateway {

// Counters of one gateway, in Prometheus' text format. Used by one thread.
class GatewayMetrics {
 public:
  // Counts one event of a kind, such as ("requests", "outcome", "ok").
  auto Count(std::string_view name, std::string_view label,
             std::string_view value) -> void;
  auto Set(std::string_view name, double value) -> void;
  auto Text() const -> std::string;

 private:
  std::map<std::string, std::int64_t> counters_;
  std::map<std::string, double> gauges_;
};

}  // namespace dotterellug::gateway
