#include <gtest/gtest.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "client/explain/process_clocks.h"
#include "client/explain/request_story.h"
#include "client/tests/run_named.h"

namespace dotterellug {
namespace {

// A log in the making: each line has the instance, the time since its process
// started and the fields.
class LogText {
 public:
  auto Add(const std::string& instance, int up_ms, const std::string& event,
           const std::string& fields = "", const std::string& hour = "07")
      -> LogText& {
    std::ostringstream time;
    time << "2026-12-04T" << hour << ":00:" << (up_ms / 10'000) % 6
         << up_ms / 1000 % 10 << ".";
    time.width(3);
    time.fill('0');
    time << up_ms % 1000 << "Z";
    text_ += R"({"time":")" + time.str() + R"(","instance":")" + instance +
             R"(","up_ms":)" + std::to_string(up_ms) + R"(,"event":")" + event +
             "\"" + (fields.empty() ? "" : "," + fields) + "}\n";
    return *this;
  }

  auto Text() const -> const std::string& { return text_; }

  auto Collect() const -> LogCollection {
    LogCollection logs;
    std::istringstream file(text_);
    ReadLogLines(file, logs);
    return logs;
  }

  auto Cause(const std::string& request = "r1") const -> std::string {
    const auto story = TellRequestStory(Collect(), request);
    return story ? story->cause : story.error().Text();
  }

 private:
  std::string text_;
};

auto Contains(const std::string& text, const std::string& part)
    -> testing::AssertionResult {
  if (text.find(part) != std::string::npos) return testing::AssertionSuccess();
  return testing::AssertionFailure() << "\"" << part << "\" is not in " << text;
}

const std::string kSent = R"("request":"r1","attempt":1,"upstream":"u1")";

// Guards against lines that are lost because a collector put something before
// them, and against other programs' lines.
TEST(LogLineTest, PassesOverWhatStandsBeforeALine) {
  LogCollection logs;
  std::istringstream file("12.3 d1 " +
                          LogText().Add("d1", 5, "started").Text() +
                          "not a line\n{\"half\n[1]\n{\"event\":\"x\"}\n");
  ReadLogLines(file, logs);
  ASSERT_EQ(logs.lines.size(), 1U);
  EXPECT_EQ(logs.lines[0].instance, "d1");
  EXPECT_EQ(logs.skipped, 4);
}

// Guards against lines of a killed process that count as those of the next one.
TEST(LogLineTest, TellsTheProcessesOfAnInstanceApart) {
  const auto logs = LogText()
                        .Add("d1", 5, "started")
                        .Add("d1", 9000, "store_lost")
                        .Add("d2", 3, "started")
                        .Add("d1", 4, "started")
                        .Add("d1", 100, "store_lost")
                        .Collect();
  EXPECT_EQ(logs.lines[1].process, 0);
  EXPECT_EQ(logs.lines[2].process, 0);
  EXPECT_EQ(logs.lines[3].process, 1);
  EXPECT_EQ(logs.lines[4].process, 1);
}

// Guards against a timeline in the order of clocks that differ: the other
// instance's time of day is two hours ahead.
TEST(ProcessClocksTest, AlignsInstancesByWhatBothNoted) {
  const auto logs =
      LogText()
          .Add("d1", 1000, "config_in_force", R"("config":4)")
          .Add("d2", 6000, "config_in_force", R"("config":4)", "09")
          .Add("d2", 7000, "order", R"("model":"m")", "09")
          .Collect();
  const ProcessClocks clocks(logs.lines, logs.lines[0]);
  EXPECT_EQ(clocks.At(logs.lines[2]), 2000);
}

// Guards against a jump of the clock that moves a line of the same process.
TEST(ProcessClocksTest, AJumpOfTheTimeOfDayMovesNothing) {
  const auto logs =
      LogText()
          .Add("d1", 1000, "request_sent", kSent)
          .Add("d1", 2000, "clock_changed", R"("by_ms":7200000)")
          .Add("d1", 3000, "request_ended",
               R"("request":"r1","outcome":"ok","status":200)", "09")
          .Collect();
  const auto story = TellRequestStory(logs, "r1");
  ASSERT_TRUE(story);
  EXPECT_EQ(story->entries.back().at_ms, 2000);
}

TEST(RequestStoryTest, NamesAKilledDaemon) {
  LogText log;
  log.Add("d1", 1000, "request_sent", kSent)
      .Add("d1", 1100, "hub_chosen")
      .Add("d1", 5, "started");
  EXPECT_TRUE(Contains(log.Cause(), "d1 ended without a stop, as by a kill"));
  EXPECT_TRUE(Contains(log.Cause(), "upstream u1 had it"));
}

TEST(RequestStoryTest, NamesAStoppedDaemon) {
  LogText log;
  log.Add("d1", 1000, "request_sent", kSent)
      .Add("d1", 1100, "stopping")
      .Add("d1", 5, "started");
  EXPECT_TRUE(Contains(log.Cause(), "d1 was stopped and its grace period"));
}

// Guards against requests whose fate at a planned stop cannot be told: waiting
// in the daemon, at an upstream, or within an answer.
TEST(RequestStoryTest, TellsWhereARequestWasWhenItsDaemonStopped) {
  const std::string ended =
      R"("request":"r1","outcome":"failed","cause":"process_stopped",)"
      R"("took_ms":6000,"status":)";
  LogText waiting;
  waiting
      .Add("d1", 1000, "request_waits",
           R"("request":"r1","reason":"model_not_loaded")")
      .Add("d1", 7000, "request_ended", ended + "503");
  EXPECT_TRUE(Contains(waiting.Cause(), "waited in the daemon"));
  EXPECT_TRUE(Contains(waiting.Cause(), "model_not_loaded"));
  LogText sent;
  sent.Add("d1", 1000, "request_sent", kSent)
      .Add("d1", 7000, "request_ended", ended + "502");
  EXPECT_TRUE(Contains(sent.Cause(), "before upstream u1 answered"));
  LogText cut;
  cut.Add("d1", 1000, "request_sent", kSent)
      .Add("d1", 7000, "request_ended", ended + "0");
  EXPECT_TRUE(Contains(cut.Cause(), "within the answer of upstream u1"));
}

TEST(RequestStoryTest, NamesAFrozenDaemon) {
  LogText log;
  log.Add("d1", 1000, "request_sent", kSent)
      .Add("d1", 4000, "loop_stalled", R"("stalled_ms":2900)")
      .Add("d1", 4010, "request_ended",
           R"("request":"r1","outcome":"cancelled","cause":"caller_left",)"
           R"("took_ms":3015,"upstream":"u1")");
  EXPECT_TRUE(Contains(log.Cause(), "the caller closed its connection"));
  EXPECT_TRUE(Contains(log.Cause(), "stood still for 2900 ms"));
}

// Guards against a failure after a restore of the store that is put down to the
// upstream alone.
TEST(RequestStoryTest, NamesARestoreOfTheStore) {
  const auto story = [](const std::string& epoch) {
    LogText log;
    log.Add("d1", 100, "store_epoch", epoch)
        .Add("d1", 1000, "request_sent", kSent)
        .Add("d1", 1100, "request_ended",
             R"("request":"r1","outcome":"failed","cause":"no_connection",)"
             R"("took_ms":100,"upstream":"u1")");
    return log.Cause();
  };
  EXPECT_TRUE(Contains(story(R"("before":1,"after":2,"restored":1)"),
                       "the store was restored from a backup (epoch 2"));
  // The first epoch that a process sees is no restore.
  EXPECT_EQ(story(R"("before":0,"after":2,"restored":0)").find("restored"),
            std::string::npos);
}

TEST(RequestStoryTest, NamesAnUpstreamThatFailedForOthersToo) {
  LogText log;
  log.Add("d1", 100, "upstream", R"("upstream":"u1","state":"live")")
      .Add("d2", 100, "upstream", R"("upstream":"u1","state":"live")")
      .Add("d1", 1000, "request_sent", kSent)
      .Add("d2", 1500, "request_ended",
           R"("request":"r2","cause":"upstream_broke_off","upstream":"u1")")
      .Add("d1", 1510, "request_ended",
           R"("request":"r1","outcome":"failed","cause":"upstream_broke_off",)"
           R"("took_ms":520,"upstream":"u1")")
      .Add("d1", 2500, "upstream", R"("upstream":"u1","state":"gone")");
  EXPECT_TRUE(Contains(log.Cause(), "upstream u1 broke off its answer"));
  EXPECT_TRUE(Contains(log.Cause(), "1 other request failed at it"));
  EXPECT_TRUE(Contains(log.Cause(), "noted as gone 990 ms after"));
}

TEST(RequestStoryTest, TellsAUsedUpLimitFromMissingGrants) {
  const std::string limit =
      R"("account":"a","per_second":100,"burst":50,"config":3)";
  const std::string end =
      R"("request":"r1","outcome":"refused","status":429,)"
      R"("cause":"over_limit","took_ms":125,"account":"a","tokens":0)";
  LogText used;
  used.Add("d1", 10, "account_limit", limit)
      .Add("d1", 5000, "request_ended",
           R"("request":"r0","account":"a","tokens":900)")
      .Add("d1", 6000, "request_ended", end);
  EXPECT_TRUE(Contains(used.Cause(), "100 a second and a burst of 50"));
  EXPECT_TRUE(Contains(used.Cause(), "took 900"));
  EXPECT_FALSE(Contains(used.Cause(), "which is less"));
  LogText lost;
  lost.Add("d1", 10, "account_limit", limit)
      .Add("d1", 5000, "hub_chosen", R"("hub":"d2","before":"d3")")
      .Add("d1", 6000, "request_ended", end);
  EXPECT_TRUE(Contains(lost.Cause(), "which is less"));
  EXPECT_TRUE(Contains(lost.Cause(), "changed from d3 to d2 1000 ms before"));
}

TEST(RequestStoryTest, NamesTheOrderThatAModelWaitedFor) {
  LogText log;
  log.Add("d1", 100, "config_in_force", R"("config":3)")
      .Add("d2", 100, "config_in_force", R"("config":3)")
      .Add("d2", 2500, "order",
           R"("model":"m","op":"load","adapter":"","upstream":"u2",)"
           R"("outcome":"accepted")")
      .Add("d1", 3000, "request_ended",
           R"("request":"r1","outcome":"refused","status":503,)"
           R"("cause":"model_not_loaded","took_ms":1200,"model":"m")")
      .Add("d2", 4500, "order_done",
           R"("model":"m","op":"load","upstream":"u2","outcome":"done")");
  EXPECT_TRUE(
      Contains(log.Cause(), "no usable upstream held m within 1200 ms"));
  EXPECT_TRUE(Contains(log.Cause(), "ordered at u2 500 ms before (accepted)"));
  EXPECT_TRUE(Contains(log.Cause(), "ended 1500 ms after (done)"));
}

TEST(RequestStoryTest, NamesAGapBetweenHolders) {
  LogText log;
  log.Add("d2", 2000, "order_lease_lost")
      .Add("d1", 3000, "request_ended",
           R"("request":"r1","outcome":"refused","status":503,)"
           R"("cause":"model_not_loaded","took_ms":1200,"model":"m")");
  EXPECT_TRUE(Contains(log.Cause(), "no load of it was ordered"));
  EXPECT_TRUE(Contains(log.Cause(), "d2 had lost the right to order"));
}

TEST(RequestStoryTest, TellsWhyAnAnswerWasLate) {
  LogText log;
  log.Add("d1", 100, "request_waits", R"("request":"r1","reason":"tokens")")
      .Add("d1", 900, "request_sent", kSent)
      .Add("d1", 1000, "request_ended",
           R"("request":"r1","outcome":"ok","status":200,"took_ms":900,)"
           R"("first_ms":850,"goal_ms":400,"waited_ms":800,"upstream":"u1")");
  EXPECT_TRUE(
      Contains(log.Cause(), "answered late: the first part came after"));
  EXPECT_TRUE(Contains(log.Cause(), "800 ms of it it waited: tokens"));
}

// Guards against an unknown id that is explained by somebody else's lines.
TEST(RequestStoryTest, SaysWhenNoLineNamesTheRequest) {
  LogText log;
  log.Add("d1", 100, "request_sent", kSent)
      .Add("d1", 200, "log_lines_dropped", R"("request_ended":4)");
  EXPECT_TRUE(Contains(log.Cause("r9"), "no line names request r9"));
  EXPECT_TRUE(Contains(log.Cause("r9"), "lines were dropped"));
}

TEST(ExplainCommandTest, PrintsTheTimelineAndTheCause) {
  const auto path = testing::TempDir() + "/explain_tests.log";
  std::ofstream(path) << LogText()
                             .Add("d1", 1000, "request_sent", kSent)
                             .Add("d1", 1100, "request_ended",
                                  R"("request":"r1","outcome":"refused",)"
                                  R"("cause":"no_route","config":3)")
                             .Text();
  const auto table = RunNamed("explain", {"r1", path});
  EXPECT_EQ(table.code, ExitCode::kDone) << table.err;
  EXPECT_TRUE(Contains(table.out, "r1: refused by configuration 3"));
  Options options;
  options.output = OutputFormat::kJson;
  const auto json =
      nlohmann::json::parse(RunNamed("explain", {"r1", path}, options).out);
  ASSERT_EQ(json.size(), 3U);
  EXPECT_EQ(json[0]["event"], "request_sent");
  EXPECT_EQ(json[2]["event"], "cause");
  EXPECT_EQ(RunNamed("explain", {"r9", path}).code, ExitCode::kFailed);
  EXPECT_EQ(RunNamed("explain", {"r1", path + ".none"}).code, ExitCode::kUsage);
}

// Guards against a rejection whose crashes cannot be found afterwards.
TEST(RequestStoryTest, NamesTheQuarantinedPartAndTheUpstreamsThatEnded) {
  const auto logs =
      LogText()
          .Add("d2", 1000, "upstream_broke_off",
               R"("request":"r0","upstream":"u3","prompt_parts":"a,bad")")
          .Add("d1", 2000, "prompt_part_quarantined",
               R"("prompt_part":"bad","crashed_upstreams":"u1,u2,u3")")
          .Add("d1", 2500, "request_ended",
               R"("request":"r1","outcome":"refused","status":503,)"
               R"("cause":"quarantined_prompt_part","prompt_part":"bad")");
  const auto cause = logs.Cause();
  EXPECT_TRUE(Contains(cause, "the part bad"));
  EXPECT_TRUE(Contains(cause, "u1,u2,u3"));
  EXPECT_TRUE(Contains(cause, "500 ms before"));
  EXPECT_TRUE(Contains(cause, "1 attempt with it broke off"));
}

}  // namespace
}  // namespace dotterellug
