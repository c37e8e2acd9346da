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

// Guards against log lines that break the format when a value has quotes or
// line ends.
TEST(StateLogTest, ValuesAreEscapedInBothFormats) {
  const std::vector<LogField> fields{{"reason", "a \"b\"\nc"}};
  LogOptions options;
  options.instance = "i1";
  EXPECT_EQ(FormatLogLine(options, LogSeverity::kInfo, "T", "down", fields),
            "T info i1 down reason=\"a \\\"b\\\"\\nc\"");
  options.json = true;
  EXPECT_EQ(FormatLogLine(options, LogSeverity::kInfo, "T", "down", fields),
            "{\"time\":\"T\",\"level\":\"info\",\"instance\":\"i1\","
            "\"message\":\"down\",\"reason\":\"a \\\"b\\\"\\nc\"}");
}

}  // namespace
}  // namespace dotterellug
