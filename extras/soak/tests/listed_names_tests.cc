#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iterator>

#include "soak/tests/fleet_fixture.h"

namespace dotterellug::soak {
namespace {

// Daemons that list objects with names that somebody else chose. The parameter
// is the kind of these objects.
class ListedNamesTest : public FleetFixture,
                        public ::testing::WithParamInterface<std::string> {
 protected:
  ListedNamesTest() : FleetFixture(3) { store_.SetPageSize(1); }

  auto WriteNames() -> void {
    int form = 0;
    for (const auto& name : platform::ForeignNames()) {
      platform::PutForeignObject(store_, GetParam(), name,
                                 form++ % platform::kForeignForms);
    }
  }
  // Kills the first daemons, once the names have reached all of them, and
  // starts them again.
  auto KillAndStart(std::size_t count) -> void {
    RunUntil(std::chrono::seconds(1), [] { return false; });
    for (std::size_t i = 0; i < count; ++i) {
      daemons_[i].process->Signal(SIGKILL);
      ASSERT_TRUE(RunUntil(std::chrono::seconds(2),
                           [&] { return !daemons_[i].process->Running(); }));
    }
    StartAndCheck(count);
  }
  // Starts the first daemons, which must become ready in time.
  auto StartAndCheck(std::size_t count) -> void {
    for (std::size_t i = 0; i < count; ++i) {
      ASSERT_TRUE(daemons_[i].process->Start());
    }
    std::vector<bool> ready(count);
    RunUntil(kCatchUp, [&] {
      for (std::size_t i = 0; i < count; ++i) {
        if (!ready[i]) ready[i] = Ready(daemons_[i]);
      }
      return std::count(ready.begin(), ready.end(), false) == 0;
    });
    for (std::size_t i = 0; i < count; ++i) {
      EXPECT_TRUE(ready[i]) << daemons_[i].place.name;
    }
    for (const auto& daemon : daemons_) {
      EXPECT_EQ(StatusAt(daemon, "first"), 200) << daemon.place.name;
      std::ifstream file(daemon.log);
      const std::string log{std::istreambuf_iterator<char>(file),
                            std::istreambuf_iterator<char>()};
      for (const auto* event : {"list_stalled", "store_lost"}) {
        EXPECT_EQ(log.find(event), std::string::npos)
            << daemon.place.name << ": " << event;
      }
    }
  }

  // The longest time from the start of a daemon until it is ready.
  static constexpr Duration kCatchUp = std::chrono::seconds(4);
};

// Guards against daemons that do not become ready (FAULT), because a list of
// the store does not go on behind a name that somebody else chose.
TEST_P(ListedNamesTest, DaemonsBecomeReady) {
  WriteNames();
  StartAndCheck(daemons_.size());
}

// The same for daemons that are killed, while another one goes on and then all.
TEST_P(ListedNamesTest, SomeDaemonsBecomeReadyAgain) {
  ASSERT_TRUE(Start());
  WriteNames();
  KillAndStart(daemons_.size() - 1);
}

TEST_P(ListedNamesTest, AllDaemonsBecomeReadyAgain) {
  ASSERT_TRUE(Start());
  WriteNames();
  KillAndStart(daemons_.size());
}

INSTANTIATE_TEST_SUITE_P(Kinds, ListedNamesTest,
                         ::testing::ValuesIn(platform::ListedKinds()),
                         [](const auto& info) {
                           auto name = info.param;
                           name.erase(
                               std::remove(name.begin(), name.end(), '-'),
                               name.end());
                           return name;
                         });

}  // namespace
}  // namespace dotterellug::soak
