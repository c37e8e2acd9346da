#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "standins/instance_list/instance_list_server.h"
#include "standins/weight_store/load_model.h"

namespace dotterellug::standins {
namespace {

using Json = nlohmann::json;
using std::chrono::seconds;

// Guards against a list without lag, on which a daemon would look better than
// on the platform.
TEST(InstanceListServerTest, ListLagsBehindChanges) {
  Timestamp now{seconds(100)};
  InstanceListServer server(seconds(2), [&] { return now; });
  const auto ids = [&] {
    const auto reply = server.Handle({"GET", "/v1/instances", {}, ""});
    const auto list = Json::parse(reply.body);
    std::string text;
    for (const auto& instance : list["instances"]) {
      text += instance["id"].get<std::string>() + "=" +
              instance["state"].get<std::string>() + ";";
    }
    return text;
  };
  const auto put = [&](const std::string& state) {
    const Json body{{"state", state}};
    return server.Handle({"PUT", "/v1/instances/a", {}, body.dump()}).status;
  };
  EXPECT_EQ(put("live"), 200U);
  EXPECT_EQ(put("asleep"), 400U);
  EXPECT_EQ(ids(), "");
  now += seconds(2);
  EXPECT_EQ(ids(), "a=live;");
  EXPECT_EQ(put("leaving"), 200U);
  EXPECT_EQ(ids(), "a=live;");
  now += seconds(1);
  server.Handle({"DELETE", "/v1/instances/a", {}, ""});
  now += seconds(1);
  EXPECT_EQ(ids(), "a=leaving;");
  now += seconds(1);
  EXPECT_EQ(ids(), "");
}

// Guards against a weight store that is faster than the platform's when many
// loads run at once.
TEST(LoadModelTest, LoadsBeyondTheParallelOnesAreSlower) {
  const auto seconds_for = [](int loads) {
    LoadModel model(WeightStoreRate{1.5, 5});
    Timestamp now{seconds(1)};
    LoadId last;
    for (int i = 0; i < loads; ++i) last = model.Start(now);
    int steps = 0;
    while (!model.IsComplete(last, now)) {
      now += std::chrono::milliseconds(10);
      ++steps;
    }
    return steps / 100.0;
  };
  EXPECT_NEAR(seconds_for(1), 5 / 1.5, 0.02);
  EXPECT_NEAR(seconds_for(5), 5 / 1.5, 0.02);
  EXPECT_NEAR(seconds_for(10), 10 / 1.5, 0.02);
}

}  // namespace
}  // namespace dotterellug::standins
