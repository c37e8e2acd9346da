#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <string>

#include "fleet/tests/prompt_traffic.h"

namespace dotterellug::fleet {
namespace {

// Bounds of the users: requests with a bad part that may reach engines from the
// contact time after the fifth crash, and the part of the sound requests that
// has to be served from twice that time.
constexpr int kAllowedArrivals = 3;
constexpr double kMaxRejectedPart = 0.5;
// Sets the number of seeds for a long run by hand.
constexpr const char* kSeedsVariable = "PROMPT_CRASH_SEEDS";

struct Size {
  int daemons = 9;
  int zones = 4;
  int engines = 9;
  int seeds = 1;
  double seconds = 40;
};

auto SeedCount(const Size& size) -> int {
  const auto* text = std::getenv(kSeedsVariable);
  return text == nullptr ? size.seeds : std::atoi(text);
}

class PromptCrashTest : public ::testing::TestWithParam<Size> {
 protected:
  // What is done to the fleet besides the requests.
  using Disturb = std::function<void(SimulatedFleet&, PromptTraffic&)>;

  auto Run(PromptTraffic::Options options, const Disturb& disturb = {})
      -> void {
    const auto& size = GetParam();
    const auto seeds = SeedCount(size);
    double spread = 0;
    int arrivals = 0;
    int crashes = 0;
    int rejected = 0;
    std::size_t wrong = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
      SimulatedFleet::Options fleet_options;
      fleet_options.daemons = size.daemons;
      fleet_options.zones = size.zones;
      fleet_options.request_rate = 0.01;
      SimulatedFleet fleet(fleet_options);
      options.engines = size.engines;
      options.sound_rate = 4.4 * size.daemons;
      options.seed = static_cast<std::uint64_t>(seed);
      PromptTraffic traffic(fleet, options);
      if (disturb) disturb(fleet, traffic);
      fleet.RunUntil(size.seconds);
      const auto outcome = traffic.Results();
      SCOPED_TRACE("seed " + std::to_string(seed));
      EXPECT_LE(outcome.late_arrivals, kAllowedArrivals);
      EXPECT_GE(outcome.longest_spread, 0) << "a daemon never knew";
      EXPECT_LE(outcome.sound_rejected, kMaxRejectedPart * outcome.sound);
      if (options.bad_rate > 0) {
        EXPECT_GT(outcome.sound, 0);
      } else {
        EXPECT_TRUE(outcome.wrongly_blamed.empty());
      }
      spread = std::max(spread, outcome.longest_spread);
      arrivals = std::max(arrivals, outcome.late_arrivals);
      crashes = std::max(crashes, outcome.crashes);
      rejected += outcome.sound_rejected;
      wrong += outcome.wrongly_blamed.size();
    }
    std::printf(
        "%d daemons, %d seeds: late arrivals at most %d, crashes at most %d, "
        "last daemon after %.2f s at most, sound requests rejected %d, parts "
        "wrongly blamed %zu\n",
        size.daemons, seeds, arrivals, crashes, spread, rejected, wrong);
  }
};

// Guards against a bad part that is known to the daemons only that saw it end
// engines.
TEST_P(PromptCrashTest, ABadPartIsKnownToAllDaemonsInTime) { Run({}); }

TEST_P(PromptCrashTest, BadRequestsThatAreFrequent) {
  PromptTraffic::Options options;
  options.bad_rate = 15;
  Run(options);
}

TEST_P(PromptCrashTest, TwoBadPartsAmongOtherCrashes) {
  PromptTraffic::Options options;
  options.bad_parts = 2;
  options.crash_interval = 3;
  options.break_interval = 0.5;
  Run(options);
}

// Guards against daemons that forget with their process, or with their hub,
// which parts are bad.
TEST_P(PromptCrashTest, HubsEndAndDaemonsRestart) {
  Run({}, [](SimulatedFleet& fleet, PromptTraffic&) {
    for (int i = 0; i < 4; ++i) {
      fleet.After(7 + 3 * i, [&fleet] {
        const auto hub = fleet.MostChosenHub();
        fleet.Stop(hub);
        fleet.After(1.5, [&fleet, hub] { fleet.Restart(hub); });
      });
    }
  });
}

// Guards against evidence that does not come together after a cut.
TEST_P(PromptCrashTest, TwoZonesAreCut) {
  Run({}, [](SimulatedFleet& fleet, PromptTraffic&) {
    fleet.After(6.5, [&fleet] { fleet.CutZones(0, 1); });
    fleet.After(9.5, [&fleet] { fleet.HealCuts(); });
  });
}

// Guards against blame when engines end and connections break for other reasons
// and no part is bad.
TEST_P(PromptCrashTest, NoPartIsBlamedWhenNoneIsBad) {
  PromptTraffic::Options options;
  options.bad_rate = 0;
  options.crash_interval = 1.5;
  options.break_interval = 0.2;
  Run(options, [](SimulatedFleet& fleet, PromptTraffic& traffic) {
    for (int i = 0; i < 4; ++i) {
      fleet.After(8 + 6 * i, [&] { traffic.CrashEngines(4); });
    }
  });
}

INSTANTIATE_TEST_SUITE_P(Sizes, PromptCrashTest,
                         ::testing::Values(Size{9, 4, 9, 20},
                                           Size{80, 5, 60, 3},
                                           Size{295, 6, 247, 1, 20}),
                         [](const auto& info) {
                           return std::to_string(info.param.daemons) +
                                  "Daemons";
                         });

// The largest fleet takes long, so it is run with one of the cases only.
class LargestFleetPromptCrashTest : public PromptCrashTest {};

TEST_P(LargestFleetPromptCrashTest, ABadPartIsKnownToAllDaemonsInTime) {
  Run({});
}

INSTANTIATE_TEST_SUITE_P(Sizes, LargestFleetPromptCrashTest,
                         ::testing::Values(Size{530, 12, 400, 1, 20}));

}  // namespace
}  // namespace dotterellug::fleet
