#include "experiment/report.h"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>
#include <sstream>

namespace dotterellug::experiment {
namespace {

auto Milliseconds(Duration duration) -> double {
  return ToSeconds(duration) * 1000;
}

auto Quantile(std::vector<double>& values, double quantile) -> double {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto index = static_cast<std::size_t>(
      quantile * static_cast<double>(values.size() - 1));
  return values[index];
}

auto Summarise(
    const Workload& workload, const std::vector<CallResult>& results,
    const std::function<auto(const TrafficClass&)->std::string>& group)
    -> std::vector<OutcomeSummary> {
  std::map<std::string, OutcomeSummary> summaries;
  std::map<std::string, std::vector<double>> first_tokens;
  for (const auto& result : results) {
    const auto& traffic = workload.classes[result.traffic_class];
    const auto name = group(traffic);
    auto& summary = summaries[name];
    summary.name = name;
    ++summary.requests;
    if (result.complete) {
      summary.tokens += result.tokens + result.prompt_tokens;
      ++summary.complete;
      first_tokens[name].push_back(Milliseconds(result.first_token));
      if (ToSeconds(result.first_token) <= workload.first_token_seconds) {
        ++summary.attained;
      }
    } else if (result.ran == "no") {
      ++summary.refused;
      if (traffic.within_rate && result.status == 429) {
        ++summary.refused_within_rate;
      }
    } else {
      ++summary.failed;
    }
  }
  std::vector<OutcomeSummary> sorted;
  for (auto& [name, summary] : summaries) {
    summary.first_token_median_ms = Quantile(first_tokens[name], 0.5);
    summary.first_token_p95_ms = Quantile(first_tokens[name], 0.95);
    summary.first_token_p99_ms = Quantile(first_tokens[name], 0.99);
    sorted.push_back(summary);
  }
  return sorted;
}

auto Table(const char* title, const std::vector<OutcomeSummary>& rows)
    -> std::string {
  std::ostringstream out;
  out << "| " << title
      << " | requests | complete | attained | refused | refused within rate | "
         "failed | first token p50 ms | p95 ms | p99 ms | tokens served |\n"
      << "|---|---|---|---|---|---|---|---|---|---|---|\n";
  for (const auto& row : rows) {
    char figures[64];
    std::snprintf(figures, sizeof figures, "%.2f | %.2f | %.2f",
                  row.first_token_median_ms, row.first_token_p95_ms,
                  row.first_token_p99_ms);
    out << "| " << row.name << " | " << row.requests << " | " << row.complete
        << " | " << row.attained << " | " << row.refused << " | "
        << row.refused_within_rate << " | " << row.failed << " | " << figures
        << " | " << row.tokens << " |\n";
  }
  return out.str();
}

}  // namespace

auto OutcomeSummary::Attainment() const -> double {
  return requests == 0
             ? 1
             : static_cast<double>(attained) / static_cast<double>(requests);
}

auto SummariseByAccount(const Workload& workload,
                        const std::vector<CallResult>& results)
    -> std::vector<OutcomeSummary> {
  return Summarise(workload, results,
                   [](const TrafficClass& traffic) { return traffic.account; });
}

auto SummariseByClass(const Workload& workload,
                      const std::vector<CallResult>& results)
    -> std::vector<OutcomeSummary> {
  return Summarise(workload, results,
                   [](const TrafficClass& traffic) { return traffic.name; });
}

auto MarkdownReport(const Workload& workload,
                    const std::vector<CallResult>& results) -> std::string {
  const auto accounts = SummariseByAccount(workload, results);
  std::ostringstream out;
  out << "# " << workload.name << "\n\n"
      << Table("account", accounts) << "\n"
      << Table("class", SummariseByClass(workload, results)) << "\n";
  OutcomeSummary all;
  const OutcomeSummary* worst = nullptr;
  for (const auto& account : accounts) {
    all.requests += account.requests;
    all.attained += account.attained;
    all.refused_within_rate += account.refused_within_rate;
    if (worst == nullptr || account.Attainment() < worst->Attainment()) {
      worst = &account;
    }
  }
  out << "- attainment: " << all.Attainment() << "\n";
  if (worst != nullptr) {
    out << "- worst-served account: " << worst->name << " with "
        << worst->Attainment() << "\n";
  }
  out << "- refused within rate: " << all.refused_within_rate << " of "
      << all.requests << "\n";
  return out.str();
}

auto CsvReport(const Workload& workload, const std::vector<CallResult>& results)
    -> std::string {
  std::ostringstream out;
  out << "at_s,account,class,status,complete,error,ran,first_token_ms,total_ms,"
         "tokens\n";
  for (const auto& result : results) {
    const auto& traffic = workload.classes[result.traffic_class];
    out << ToSeconds(result.at) << ',' << traffic.account << ',' << traffic.name
        << ',' << result.status << ',' << result.complete << ',' << result.error
        << ',' << result.ran << ',' << Milliseconds(result.first_token) << ','
        << Milliseconds(result.total) << ',' << result.tokens << '\n';
  }
  return out.str();
}

}  // namespace dotterellug::experiment
