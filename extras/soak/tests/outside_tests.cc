#include <gtest/gtest.h>

#include <csignal>
#include <fstream>
#include <iterator>
#include <string>

#include "soak/tests/daemon_fixture.h"

namespace dotterellug::soak {
namespace {

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

}  // namespace
}  // namespace dotterellug::soak
