#include <gtest/gtest.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <string>

#include "document/document.h"

namespace dotterellug {
namespace {

auto ReadFile(const std::string& path) -> std::string {
  std::ifstream file(path);
  EXPECT_TRUE(file) << path;
  return {std::istreambuf_iterator<char>(file),
          std::istreambuf_iterator<char>()};
}

// What section 1 of the design page states of a deployment.
struct Deployment {
  std::string name;
  std::size_t models;
  std::size_t adapters;
  std::uint16_t engine_port;
  std::uint16_t service_port;
  std::vector<std::string> routes_that_run_once;
};

class ExampleTest : public testing::TestWithParam<Deployment> {
 protected:
  auto Folder() const -> std::string {
    return std::string(DOTTERELLUG_SOURCE_DIR) + "/examples/" +
           GetParam().name + "/";
  }

  auto Load() const -> ServingDocument {
    DocumentTexts texts;
    for (const auto section : kAllSections) {
      const auto name = std::string(NameOf(section)) + ".yaml";
      texts.Set(section, ReadFile(Folder() + name));
    }
    auto document = ParseDocument(texts);
    EXPECT_TRUE(document) << document.error().Text();
    return document.value_or(ServingDocument{});
  }
};

auto CountKind(const ServingDocument& document, UpstreamKind kind)
    -> std::ptrdiff_t {
  return std::count_if(
      document.upstreams.begin(), document.upstreams.end(),
      [kind](const auto& entry) { return entry.second.kind == kind; });
}

// Guards against examples that no longer match the code or the stated sizes.
TEST_P(ExampleTest, HasTheStatedSizes) {
  const auto document = Load();
  EXPECT_EQ(document.models.size(), GetParam().models);
  EXPECT_EQ(document.adapters.size(), GetParam().adapters);
  EXPECT_EQ(document.accounts.size(), 5U);
  EXPECT_EQ(document.zones.size(), 4U);
  EXPECT_EQ(CountKind(document, UpstreamKind::kEngine), 9);
  EXPECT_EQ(CountKind(document, UpstreamKind::kService), 4);
  for (const auto& [id, upstream] : document.upstreams) {
    const bool engine = upstream.kind == UpstreamKind::kEngine;
    const auto first =
        engine ? GetParam().engine_port : GetParam().service_port;
    EXPECT_GE(upstream.port, first);
    EXPECT_LT(upstream.port, first + (engine ? 9 : 4));
  }
}

// Guards against examples in which placement is trivial.
TEST_P(ExampleTest, ModelsDoNotAllFitOnAnEngine) {
  const auto document = Load();
  Bytes weights;
  Bytes largest_model;
  for (const auto& [id, model] : document.models) {
    weights += model.weight_bytes;
    largest_model = std::max(largest_model, model.weight_bytes);
  }
  bool too_small_for_largest = false;
  for (const auto& [id, upstream] : document.upstreams) {
    if (upstream.kind != UpstreamKind::kEngine) continue;
    EXPECT_LT(upstream.memory, weights);
    too_small_for_largest |= upstream.memory < largest_model;
  }
  EXPECT_TRUE(too_small_for_largest);
}

// Guards against orders and postings that could be repeated.
TEST_P(ExampleTest, OrdersAreNotIdempotent) {
  const auto document = Load();
  for (const auto& name : GetParam().routes_that_run_once) {
    const auto& methods = document.routes.at(name).idempotent_methods;
    EXPECT_EQ(std::count(methods.begin(), methods.end(), "POST"), 0);
    EXPECT_EQ(std::count(methods.begin(), methods.end(), "GET"), 1);
  }
}

// Guards against a digest construction that changes and makes issued keys
// invalid; the sample digests were made with another BLAKE2b implementation.
TEST_P(ExampleTest, SampleKeysAreAccepted) {
  const auto digest_key = DigestKey::FromFile(Folder() + "keys/digest.key");
  ASSERT_TRUE(digest_key) << digest_key.error().Text();
  const KeyTable table(Load(), *digest_key);
  const auto callers = YAML::LoadFile(Folder() + "keys/callers.yaml");
  ASSERT_GT(callers.size(), 5U);
  for (const auto& caller : callers) {
    const auto holder = table.Lookup(caller["key"].as<std::string>());
    if (caller["revoked"].as<bool>()) {
      ASSERT_FALSE(holder);
      EXPECT_EQ(holder.error().kind, KeyRefusalKind::kRevoked);
    } else {
      ASSERT_TRUE(holder);
      EXPECT_EQ(holder->account.Value(), caller["account"].as<std::string>());
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    Deployments, ExampleTest,
    testing::Values(Deployment{"chujio-hub", 18, 42, 21001, 22001, {"orders"}},
                    Deployment{"kestrelfield",
                               17,
                               58,
                               23001,
                               24001,
                               {"confirmations", "postings"}}),
    [](const auto& info) { return info.param.name.substr(0, 6); });

}  // namespace
}  // namespace dotterellug
