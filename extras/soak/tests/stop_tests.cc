#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <csignal>
#include <string>
#include <thread>

#include "soak/tests/daemon_fixture.h"

namespace dotterellug::soak {
namespace {

namespace ip = boost::asio::ip;

// The last moments of a daemon's process; the parameter is a signal.
class StopTest : public DaemonFixture,
                 public ::testing::WithParamInterface<int> {};

// Guards against a planned stop that a further signal turns into an end by that
// signal (FAULT), because it comes when the event loop has ended.
TEST_P(StopTest, SignalsUntilTheEndChangeNothing) {
  constexpr int kStops = 40;
  constexpr auto kPause = std::chrono::microseconds(20);
  // A daemon that does not serve yet stops at once.
  const ip::tcp::acceptor other(
      loop_, {ip::make_address(place_.ip), place_.Callers().port});
  WriteSettings();
  int ended_by_signal = 0;
  for (int i = 0; i < kStops; ++i) {
    ASSERT_TRUE(daemon_->Start());
    ASSERT_TRUE(
        RunFor(kLongest, [this] { return Accepts(place_.Readiness()); }));
    daemon_->Signal(SIGTERM);
    const auto give_up = MonotonicNow() + kLongest;
    while (daemon_->Running() && MonotonicNow() < give_up) {
      daemon_->Signal(GetParam());
      // Without a pause, the process would do nothing but take signals.
      std::this_thread::sleep_for(kPause);
    }
    ASSERT_TRUE(Ended());
    ended_by_signal += daemon_->EndStatus() == 0 ? 0 : 1;
  }
  EXPECT_EQ(ended_by_signal, 0) << "of " << kStops;
}

INSTANTIATE_TEST_SUITE_P(Signals, StopTest,
                         ::testing::Values(SIGHUP, SIGTERM, SIGINT),
                         [](const auto& info) {
                           return "Signal" + std::to_string(info.param);
                         });

}  // namespace
}  // namespace dotterellug::soak
