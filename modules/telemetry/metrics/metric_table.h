#pragma once

#include <string>

namespace dotterellug {

// The table of docs/operations/metrics.md in Markdown, one row per family of
// Metrics::Descriptions.
auto MetricsMarkdown() -> std::string;

}  // namespace dotterellug
