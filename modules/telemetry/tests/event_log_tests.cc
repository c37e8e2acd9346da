#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <array>

#include "telemetry/events/event_log.h"

namespace dotterellug {
namespace {

auto At(double s) -> Timestamp { return Timestamp(FromSeconds(1000 + s)); }

class EventLogTest : public ::testing::Test {
 protected:
  EventLogTest() {
    EXPECT_EQ(::pipe(pipe_.data()), 0);
    ::fcntl(pipe_[0], F_SETFL, O_NONBLOCK);
  }
  ~EventLogTest() override {
    ::close(pipe_[0]);
    ::close(pipe_[1]);
  }
  auto Read() -> std::string {
    std::string text;
    std::array<char, 4096> buffer{};
    for (;;) {
      const auto count = ::read(pipe_[0], buffer.data(), buffer.size());
      if (count <= 0) return text;
      text.append(buffer.data(), static_cast<std::size_t>(count));
    }
  }
  auto Writer() const -> int { return pipe_[1]; }

 private:
  std::array<int, 2> pipe_{};
};

TEST_F(EventLogTest, WritesOneJsonObjectALine) {
  EventLog log(Writer(), "i");
  log.Flush(At(0));
  log.Write(EventRank::kState, "started").Add("text", "a\"\n").Add("n", 3);
  log.Flush(At(0.1));
  const auto text = Read();
  EXPECT_NE(text.find(R"("event":"started","text":"a\"\u000a","n":3})"),
            std::string::npos)
      << text;
  EXPECT_EQ(text.back(), '\n');
}

// Guards against a request that waits because nobody reads the log.
TEST_F(EventLogTest, AStoppedReaderNeverBlocks) {
  EventLog log(Writer(), "i");
  for (int second = 0; second < 60; ++second) {
    log.Flush(At(second));
    for (int i = 0; i < 500; ++i) {
      log.Write(EventRank::kFailure, "request_ended").Add("request", "abc");
    }
  }
  EXPECT_GT(log.Dropped(), 0);
  EXPECT_LE(log.BufferedBytes(), EventLogOptions{}.buffer_bytes);
}

// Guards against a flood of routine lines that crowds out the failures, and
// against lines that vanish without a count.
TEST_F(EventLogTest, KeepsFailuresBeforeRoutineAndCountsTheRest) {
  EventLogOptions options;
  options.bytes_per_second = 10'000;
  EventLog log(Writer(), "i", options);
  log.Flush(At(0));
  for (int i = 0; i < 200; ++i) {
    log.Write(EventRank::kRoutine, "fine").Add("request", "abc");
  }
  for (int i = 0; i < 10; ++i) {
    log.Write(EventRank::kFailure, "refused").Add("request", "abc");
  }
  log.Write(EventRank::kState, "stopping");
  log.Flush(At(0.1));
  const auto text = Read();
  EXPECT_NE(text.find("refused"), std::string::npos);
  EXPECT_NE(text.find("stopping"), std::string::npos);
  EXPECT_LT(text.size(), 12'000U);
  log.Flush(At(1.5));
  log.Flush(At(1.6));
  EXPECT_NE((text + Read()).find(R"("event":"log_lines_dropped","fine":)"),
            std::string::npos);
}

}  // namespace
}  // namespace dotterellug
