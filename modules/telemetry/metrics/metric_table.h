#pragma once

#include <string>
#include <vector>

#include "telemetry/metrics/metrics.h"

namespace dotterellug {

// The families as a table in Markdown, one row each; pages of the documentation
// contain it.
auto MetricsMarkdown(const std::vector<MetricDescription>& families)
    -> std::string;

}  // namespace dotterellug
