#include <gtest/gtest.h>
#include <yaml-cpp/yaml.h>

#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

#include "telemetry/telemetry.h"

namespace dotterellug {
namespace {

auto PagePath(const std::string& name) -> std::string {
  return std::string(DOTTERELLUG_SOURCE_DIR) + "/docs/operations/" + name;
}

auto ReadPage(const std::string& name) -> std::string {
  std::ifstream page(PagePath(name));
  return {std::istreambuf_iterator<char>(page),
          std::istreambuf_iterator<char>()};
}

// The names that a query may use: a histogram has three series.
auto SeriesNames() -> std::set<std::string> {
  std::set<std::string> names;
  for (const auto& metric : Metrics::Descriptions()) {
    if (metric.kind != MetricKind::kHistogram) {
      names.insert(metric.name);
      continue;
    }
    for (const auto* suffix : {"_bucket", "_sum", "_count"}) {
      names.insert(metric.name + suffix);
    }
  }
  return names;
}

auto MetricNamesIn(const std::string& text) -> std::set<std::string> {
  const std::regex pattern("dotterellug_[a-z_]+");
  std::set<std::string> names;
  for (std::sregex_iterator match(text.begin(), text.end(), pattern), end;
       match != end; ++match) {
    names.insert(match->str());
  }
  return names;
}

// The words of a query outside of label values and ranges.
auto QueryWords(const std::string& query) -> std::set<std::string> {
  const auto bare =
      std::regex_replace(query, std::regex(R"(\{[^}]*\}|\[[^\]]*\])"), " ");
  const std::regex pattern("[a-z_]+");
  std::set<std::string> words;
  for (std::sregex_iterator match(bare.begin(), bare.end(), pattern), end;
       match != end; ++match) {
    words.insert(match->str());
  }
  return words;
}

// Functions, keywords and labels that the rules use beside metrics.
auto QueryKeywords() -> std::set<std::string> {
  std::set<std::string> words{"sum",
                              "by",
                              "rate",
                              "max",
                              "scalar",
                              "le",
                              "increase",
                              "group_left",
                              "max_over_time",
                              "on",
                              "histogram_quantile"};
  for (const auto& metric : Metrics::Descriptions()) {
    words.insert(metric.labels.begin(), metric.labels.end());
  }
  return words;
}

// Guards against a metric that is added, renamed or removed without the page.
TEST(OperationsPagesTest, MetricsPageContainsTheGeneratedTable) {
  EXPECT_NE(ReadPage("metrics.md")
                .find("\n" + MetricsMarkdown(Metrics::Descriptions()) + "\n"),
            std::string::npos)
      << "replace the table by:\n"
      << MetricsMarkdown(Metrics::Descriptions());
}

// Guards against an alert that never fires because its metric does not exist,
// and against one that does not say what to look at.
TEST(OperationsPagesTest, AlertsUseExportedMetricsOnly) {
  const auto names = SeriesNames();
  const auto keywords = QueryKeywords();
  const auto page = YAML::LoadFile(PagePath("alerts.yaml"));
  std::set<std::string> alerts;
  for (const auto& group : page["groups"]) {
    EXPECT_TRUE(group["name"].IsScalar());
    for (const auto& rule : group["rules"]) {
      const auto alert = rule["alert"].as<std::string>();
      EXPECT_TRUE(alerts.insert(alert).second) << alert << " stands twice";
      const auto query = rule["expr"].as<std::string>();
      EXPECT_FALSE(MetricNamesIn(query).empty()) << alert;
      for (const auto& word : QueryWords(query)) {
        EXPECT_EQ(names.count(word) + keywords.count(word), 1U)
            << alert << " uses " << word;
      }
      for (const auto* text : {"summary", "look_at"}) {
        EXPECT_FALSE(rule["annotations"][text].as<std::string>("").empty())
            << alert << " has no " << text;
      }
    }
  }
  EXPECT_FALSE(alerts.empty());
  for (const auto& name : MetricNamesIn(ReadPage("alerts.yaml"))) {
    EXPECT_EQ(names.count(name), 1U) << "a text of alerts.yaml names " << name;
  }
}

}  // namespace
}  // namespace dotterellug
