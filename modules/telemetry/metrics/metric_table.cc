#include "telemetry/metrics/metric_table.h"

namespace dotterellug {
namespace {

auto KindName(MetricKind kind) -> std::string {
  switch (kind) {
    case MetricKind::kCounter:
      return "counter";
    case MetricKind::kGauge:
      return "gauge";
    case MetricKind::kHistogram:
      return "histogram";
  }
  return "";
}

auto LabelsText(const MetricDescription& metric) -> std::string {
  std::string text;
  for (const auto& label : metric.labels) {
    if (!text.empty()) text += ", ";
    text += "`" + label + "`";
  }
  return text.empty() ? "-" : text;
}

}  // namespace

auto MetricsMarkdown(const std::vector<MetricDescription>& families)
    -> std::string {
  std::string text = "| name | kind | labels | meaning |\n|---|---|---|---|\n";
  for (const auto& metric : families) {
    text += "| `" + metric.name + "` | " + KindName(metric.kind) + " | " +
            LabelsText(metric) + " | " + metric.help + " |\n";
  }
  return text;
}

}  // namespace dotterellug
