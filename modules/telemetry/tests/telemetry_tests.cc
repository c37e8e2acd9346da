#include <gtest/gtest.h>

#include "telemetry/telemetry.h"

namespace dotterellug {
namespace {

// Guards against a documented metric that is not exported, or the reverse.
TEST(MetricsTest, ExportsExactlyTheDescribedFamilies) {
  Metrics metrics;
  metrics.CountRequest("a", "batch", "ok");
  metrics.CountRefusal("budget");
  metrics.ObserveFirstToken("a", "batch", std::chrono::milliseconds(3));
  metrics.ObserveTokenInterval("a", "batch", std::chrono::milliseconds(3));
  metrics.ObserveQueueWait("a", "batch", std::chrono::milliseconds(3));
  metrics.ObserveTotal("a", "batch", std::chrono::milliseconds(3));
  const auto text = metrics.Text();
  std::size_t families = 0;
  for (std::size_t at = text.find("# TYPE "); at != std::string::npos;
       at = text.find("# TYPE ", at + 1)) {
    ++families;
  }
  const auto descriptions = Metrics::Descriptions();
  EXPECT_EQ(families, descriptions.size());
  for (const auto& description : descriptions) {
    EXPECT_NE(text.find("# TYPE " + description.name + " "), std::string::npos)
        << description.name;
  }
}

// Guards against metrics that grow with the number of client accounts.
TEST(MetricsTest, AccountsBeyondTheLimitShareOneSeries) {
  LabelLimit limit(2);
  EXPECT_EQ(limit.Bound("a"), "a");
  EXPECT_EQ(limit.Bound("b"), "b");
  EXPECT_EQ(limit.Bound("c"), "other");
  EXPECT_EQ(limit.Bound("a"), "a");
}

// A line with the field `reason`, as text and as JSON.
auto LinesWith(const std::string& reason) -> std::vector<std::string> {
  std::vector<std::string> lines;
  for (const bool json : {false, true}) {
    LogOptions options;
    options.instance = "i1";
    options.json = json;
    lines.push_back(FormatLogLine(options, LogSeverity::kInfo, "T", "down",
                                  {{"reason", reason}}));
  }
  return lines;
}

// Guards against log lines that break the format when a value has quotes or
// line ends.
TEST(StateLogTest, ValuesAreEscapedInBothFormats) {
  const auto lines = LinesWith("a \"b\"\nc");
  EXPECT_EQ(lines[0], "T info i1 down reason=\"a \\\"b\\\"\\nc\"");
  EXPECT_EQ(lines[1],
            "{\"time\":\"T\",\"level\":\"info\",\"instance\":\"i1\","
            "\"message\":\"down\",\"reason\":\"a \\\"b\\\"\\nc\"}");
}

// Guards against a process that ends because it logs text of others that is not
// UTF-8.
TEST(StateLogTest, ValuesMayHaveAnyBytes) {
  for (const auto& line : LinesWith(std::string("a\xff\0", 3))) {
    EXPECT_NE(line.find("\"a\xef\xbf\xbd\\u0000\""), std::string::npos) << line;
  }
}

}  // namespace
}  // namespace dotterellug
