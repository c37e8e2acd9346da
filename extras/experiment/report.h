#pragma once

#include <string>
#include <vector>

#include "experiment/load_run.h"

namespace dotterellug::experiment {

// The outcome of one client account or traffic class.
struct OutcomeSummary {
  std::string name;
  std::size_t requests = 0;
  std::size_t complete = 0;
  // Refused for the budget although the class stays within its rate.
  std::size_t refused_within_rate = 0;
  std::size_t refused = 0;
  // Neither complete nor truthfully refused before running.
  std::size_t failed = 0;
  // Complete with the first token within the target.
  std::size_t attained = 0;
  double first_token_median_ms = 0;
  double first_token_p95_ms = 0;
  double first_token_p99_ms = 0;
  // Prompt and generated tokens of complete requests, which is what the account
  // was served and may not exceed its burst + rate * time.
  std::int64_t tokens = 0;

  auto Attainment() const -> double;
};

auto SummariseByAccount(const Workload& workload,
                        const std::vector<CallResult>& results)
    -> std::vector<OutcomeSummary>;
auto SummariseByClass(const Workload& workload,
                      const std::vector<CallResult>& results)
    -> std::vector<OutcomeSummary>;

// Tables in Markdown, with the measures of the whole run below.
auto MarkdownReport(const Workload& workload,
                    const std::vector<CallResult>& results) -> std::string;
// One line per request.
auto CsvReport(const Workload& workload, const std::vector<CallResult>& results)
    -> std::string;

}  // namespace dotterellug::experiment
