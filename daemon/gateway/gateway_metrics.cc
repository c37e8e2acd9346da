#include "daemon/gateway/gateway_metrics.h"

namespace dotterellug::gateway {
namespace {

constexpr std::string_view kPrefix = "dotterellug_gateway_";

}  // namespace

auto GatewayMetrics::Count(std::string_view name, std::string_view label,
                           std::string_view value) -> void {
  std::string key(kPrefix);
  key += name;
  key += "_total{";
  key += label;
  key += "=\"";
  key += value;
  key += "\"}";
  ++counters_[key];
}

auto GatewayMetrics::Set(std::string_view name, double value) -> void {
  gauges_[std::string(kPrefix) + std::string(name)] = value;
}

auto GatewayMetrics::Text() const -> std::string {
  std::string text;
  for (const auto& [name, value] : counters_) {
    text += name + " " + std::to_string(value) + "\n";
  }
  for (const auto& [name, value] : gauges_) {
    text += name + " " + std::to_string(value) + "\n";
  }
  return text;
}

}  // namespace dotterellug::gateway
