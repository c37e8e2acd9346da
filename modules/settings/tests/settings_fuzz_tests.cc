#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <string>

#include "settings/settings.h"
#include "yaml/tests/yaml_fuzz.h"

namespace dotterellug {
namespace {

// Guards against crashes and faults without message or remedy.
TEST(SettingsFuzzTest, MutatedSettingsAreReadOrRejected) {
  for (const auto* name : {"chujio-hub", "kestrelfield"}) {
    std::ifstream file(std::string(DOTTERELLUG_SOURCE_DIR) + "/examples/" +
                       name + "/daemon.yaml");
    const std::string text{std::istreambuf_iterator<char>(file),
                           std::istreambuf_iterator<char>()};
    YamlMutator mutator(17);
    int accepted = 0;
    for (int i = 0; i < 5000; ++i) {
      const auto settings = ParseSettings(mutator.Mutate(text), "daemon.yaml");
      if (settings) {
        ++accepted;
        ASSERT_NE(settings->listen.callers.port, 0);
        ASSERT_FALSE(settings->key_files.digest.empty());
        continue;
      }
      ASSERT_FALSE(settings.error().Empty());
      for (const auto& fault : settings.error().Listed()) {
        ASSERT_FALSE(fault.message.empty());
        ASSERT_FALSE(fault.remedy.empty()) << fault.Text();
        ASSERT_EQ(fault.Text().find('\n'), std::string::npos);
      }
    }
    EXPECT_GT(accepted, 20);
  }
}

}  // namespace
}  // namespace dotterellug
