#include <gtest/gtest.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>

#include "telemetry/events/end_log.h"

namespace dotterellug {
namespace {

auto Throw() -> void { throw std::runtime_error("no \"room\""); }

auto ThrowUncaught() noexcept -> void { Throw(); }

// Descends until the stack is exhausted.
auto Descend(volatile int* last) -> int {  // NOLINT(misc-no-recursion)
  if (*last < 0) return 0;
  volatile int here = *last + 1;
  return Descend(&here) + here;
}

// Guards against an exception that ends a process without a line in its log.
TEST(EndLogDeathTest, WritesTheTextOfAnUncaughtException) {
  EXPECT_EXIT(
      {
        LogAbnormalEnds(STDERR_FILENO, "i");
        ThrowUncaught();
      },
      ::testing::KilledBySignal(SIGABRT),
      R"re("instance":"i".*"event":"ended_by_exception","error":"no ..room..")re");
}

// Guards against a fault that ends a process without a line in its log.
TEST(EndLogDeathTest, WritesTheSignalOfAnExhaustedStack) {
  int first = 0;
  EXPECT_EXIT(
      {
        LogAbnormalEnds(STDERR_FILENO, "i");
        std::exit(Descend(&first));
      },
      ::testing::KilledBySignal(SIGSEGV),
      R"re("event":"ended_by_signal","signal":11)re");
}

}  // namespace
}  // namespace dotterellug
