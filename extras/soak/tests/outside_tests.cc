#include <gtest/gtest.h>
#include <sys/wait.h>

#include <boost/asio/ip/udp.hpp>
#include <csignal>
#include <fstream>
#include <iterator>
#include <string>

#include "soak/tests/daemon_fixture.h"

namespace dotterellug::soak {
namespace {

namespace ip = boost::asio::ip;

// What reaches a daemon's process from outside its callers and upstreams.
class OutsideTest : public DaemonFixture {
 protected:
  auto StartAndWait() -> bool {
    WriteSettings();
    return daemon_->Start().has_value() &&
           RunFor(kLongest, [this] { return Listens(); });
  }
  auto Log() -> std::string {
    std::ifstream file(folder_ / "d1.log");
    return {std::istreambuf_iterator<char>(file),
            std::istreambuf_iterator<char>()};
  }
};

// Guards against a process that ends (FAULT) because its output has reached the
// system's limit on file sizes.
TEST_F(OutsideTest, AFullLogFileChangesNothing) {
  constexpr std::size_t kBytes = 2048;
  constexpr int kReloads = 60;
  daemon_ = std::make_unique<DaemonProcess>(
      DaemonPlan{DOTTERELLUGD, platform::SettingsEnvironment(settings_),
                 folder_ / "d1.log", kBytes});
  ASSERT_TRUE(StartAndWait());
  for (int i = 0; i < kReloads && !Ended(); ++i) {
    daemon_->Signal(SIGHUP);
    RunFor(std::chrono::milliseconds(10));
  }
  EXPECT_EQ(Log().size(), kBytes);
  ASSERT_FALSE(Ended()) << daemon_->EndStatus();
  EXPECT_TRUE(Listens());
}

// Guards against an end by itself (FAULT) of which the log says nothing.
TEST_F(OutsideTest, AFaultOfMemoryIsInTheLog) {
  ASSERT_TRUE(StartAndWait());
  daemon_->Signal(SIGSEGV);
  ASSERT_TRUE(RunFor(kLongest, [this] { return Ended(); }));
  EXPECT_NE(Log().find(R"({"event":"ended_by_signal","signal":11})"),
            std::string::npos);
  ASSERT_TRUE(WIFSIGNALED(daemon_->EndStatus()));
  EXPECT_EQ(WTERMSIG(daemon_->EndStatus()), SIGSEGV);
}

struct OddBytes {
  const char* name;
  std::string unit;
  std::string begin;
};

class OddDatagramTest : public OutsideTest,
                        public ::testing::WithParamInterface<OddBytes> {};

// Guards against a process that ends (FAULT) by a datagram at its peers' port
// whose values are nested so deeply that reading them exhausts the stack.
TEST_P(OddDatagramTest, TheProcessGoesOn) {
  constexpr std::size_t kLargest = 65'000;
  auto bytes = GetParam().begin;
  while (bytes.size() + GetParam().unit.size() <= kLargest) {
    bytes += GetParam().unit;
  }
  ASSERT_TRUE(StartAndWait());
  ip::udp::socket socket(loop_, ip::udp::v4());
  socket.send_to(boost::asio::buffer(bytes),
                 {ip::make_address(place_.ip), platform::kPeerPort});
  EXPECT_TRUE(RunFor(kLongest, [this] {
    return Ended() || Log().find("datagram_rejected") != std::string::npos;
  }));
  ASSERT_FALSE(Ended()) << daemon_->EndStatus();
  EXPECT_TRUE(Listens());
}

INSTANTIATE_TEST_SUITE_P(
    Forms, OddDatagramTest,
    ::testing::Values(OddBytes{"Arrays", "\x81"}, OddBytes{"Maps", "\xa1\x60"},
                      OddBytes{"ArraysWithoutLength", "\x9f"},
                      OddBytes{"MapsWithoutLength", "\xbf\x60"},
                      OddBytes{"TextWithoutLength", "\x7f"},
                      OddBytes{"BytesWithoutLength", "\x5f"},
                      OddBytes{"Tags", "\xc0"},
                      OddBytes{"TextInAnArray", "\x7f", "\x82\x01"},
                      OddBytes{"TextInAMap", "\x7f", "\x81\xa1\x61x"}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace dotterellug::soak
