#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <string>

#include "settings/settings.h"

namespace dotterellug {
namespace {

constexpr auto* kValid = R"(instance: entry-1
availability_zone: a
listen:
  callers: 127.0.0.1:25001
  peers: 127.0.0.1:25002
  admin: "[::1]:25003"
platform:
  object_api: 127.0.0.1:20001
  instance_list: 127.0.0.1:20002
peers: ["127.0.0.1:25002", "127.0.0.1:25012"]
key_files:
  fleet: keys/fleet
  digest: /keys/digest
  upstream_credential: keys/upstream
tls:
  callers:
    certificate: tls/callers.pem
    key: tls/callers.key
  upstreams:
    authority: tls/upstreams.pem
log:
  format: json
  level: warning
limits:
  header: 8KiB
  body: 500KB
  json_depth: 16
  header_timeout: 2s
  connections: 100
drain: 7s
)";

TEST(SettingsTest, ReadsAllSettings) {
  const auto settings = ParseSettings(kValid, "daemon.yaml");
  ASSERT_TRUE(settings) << settings.error().Text();
  EXPECT_EQ(settings->instance, InstanceId("entry-1"));
  EXPECT_EQ(settings->listen.admin, (SocketAddress{"::1", 25003}));
  EXPECT_EQ(settings->platform.instance_list.port, 20002);
  EXPECT_EQ(settings->peers.size(), 2U);
  EXPECT_EQ(settings->key_files.fleet, "keys/fleet");
  EXPECT_TRUE(settings->tls.callers.Enabled());
  EXPECT_TRUE(settings->tls.upstreams.Enabled());
  EXPECT_FALSE(settings->tls.peers.Enabled());
  EXPECT_EQ(settings->log.level, LogLevel::kWarning);
  EXPECT_EQ(settings->limits.header, Bytes(8192));
  EXPECT_EQ(settings->limits.header_timeout, std::chrono::seconds(2));
  EXPECT_EQ(settings->limits.connections, 100);
  EXPECT_EQ(settings->drain, std::chrono::seconds(7));
}

// One edit that makes the valid settings wrong, and the fault that names it.
struct FaultCase {
  std::string name;
  std::string from;
  std::string to;
  int line;
  std::string path;
  std::string message;
};

auto PrintTo(const FaultCase& fault_case, std::ostream* out) -> void {
  *out << fault_case.name;
}

class SettingsFaultTest : public testing::TestWithParam<FaultCase> {};

// Guards against a rule that is not applied, and against faults that name the
// wrong place.
TEST_P(SettingsFaultTest, IsReportedWithLineAndRemedy) {
  const auto& expected = GetParam();
  std::string text = kValid;
  const auto position = text.find(expected.from);
  ASSERT_NE(position, std::string::npos);
  text.replace(position, expected.from.size(), expected.to);
  const auto settings = ParseSettings(text, "daemon.yaml");
  ASSERT_FALSE(settings);
  ASSERT_EQ(settings.error().Total(), 1U) << settings.error().Text();
  const auto& fault = settings.error().Listed().front();
  EXPECT_EQ(fault.source, "daemon.yaml");
  EXPECT_EQ(fault.line, expected.line) << fault.Text();
  EXPECT_EQ(fault.path, expected.path);
  EXPECT_NE(fault.message.find(expected.message), std::string::npos)
      << fault.Text();
  EXPECT_FALSE(fault.remedy.empty());
}

INSTANTIATE_TEST_SUITE_P(
    Faults, SettingsFaultTest,
    testing::Values(
        FaultCase{"MissingKey", "instance: entry-1\n", "", 1, "instance",
                  "missing"},
        FaultCase{"MissingKeyInGroup", "  digest: /keys/digest\n", "", 12,
                  "key_files.digest", "missing"},
        FaultCase{"UnknownKey", "  level: warning", "  lvl: warning", 23, "log",
                  "unknown key"},
        // A secret itself has no place in the settings, only its path.
        FaultCase{"InlineSecret", "drain: 7s", "fleet_key: abc", 30, "",
                  "unknown key"},
        FaultCase{"HostName", "127.0.0.1:25001", "localhost:25001", 4,
                  "listen.callers", "not an IP address"},
        FaultCase{"NoPort", "127.0.0.1:20001", "127.0.0.1", 8,
                  "platform.object_api", "not an IP address"},
        FaultCase{"PortTooLarge", "127.0.0.1:20001", "127.0.0.1:65536", 8,
                  "platform.object_api", "not an IP address"},
        FaultCase{"BadPeer", "127.0.0.1:25012", "x", 10, "peers[1]",
                  "not an IP address"},
        FaultCase{"PeerTwice", "127.0.0.1:25012", "127.0.0.1:25002", 10,
                  "peers", "listed twice"},
        FaultCase{"ListenerClash", "127.0.0.1:25002", "127.0.0.1:25001", 5,
                  "listen.peers", "same address"},
        FaultCase{"WildcardClash", "127.0.0.1:25001", "0.0.0.0:25002", 5,
                  "listen.peers", "same address"},
        FaultCase{"CertificateWithoutKey", "    key: tls/callers.key\n", "", 17,
                  "tls.callers.certificate", "without its private key"},
        FaultCase{"KeyWithoutCertificate", "    certificate: tls/callers.pem\n",
                  "", 17, "tls.callers.key", "without its certificate"},
        FaultCase{"ServerWithAuthorityOnly", "  upstreams:\n", "  peers:\n", 20,
                  "tls.peers.authority", "without a certificate"},
        FaultCase{"OutOfRange", "16", "1000", 27, "limits.json_depth",
                  "out of range"},
        FaultCase{"NoUnit", "2s", "2", 28, "limits.header_timeout",
                  "not a duration"},
        FaultCase{"ValueForGroup", "log:\n  format: json\n  level: warning",
                  "log: json", 21, "log", "a map is expected"}),
    [](const auto& info) { return info.param.name; });

// Guards against a report that stops at the first fault.
TEST(SettingsTest, EmptyFileReportsEveryRequiredSetting) {
  const auto settings = ParseSettings("", "daemon.yaml");
  ASSERT_FALSE(settings);
  const auto all = DescribeSettings();
  const auto required =
      std::count_if(all.begin(), all.end(),
                    [](const auto& setting) { return setting.required; });
  EXPECT_EQ(settings.error().Total(), static_cast<std::size_t>(required))
      << settings.error().Text();
}

// Guards against paths that depend on the working directory.
TEST(SettingsTest, LoadTakesRelativePathsFromTheFilesFolder) {
  const auto path = testing::TempDir() + "/settings_test_daemon.yaml";
  std::ofstream(path) << kValid;
  const auto settings = LoadSettings(path);
  ASSERT_TRUE(settings) << settings.error().Text();
  EXPECT_EQ(settings->key_files.fleet, testing::TempDir() + "keys/fleet");
  EXPECT_EQ(settings->key_files.digest, "/keys/digest");
  EXPECT_EQ(settings->tls.peers.key, "");
}

TEST(SettingsTest, LoadReportsAFileThatCannotBeRead) {
  EXPECT_FALSE(LoadSettings(testing::TempDir() + "/no/such/file"));
  EXPECT_FALSE(LoadSettings(testing::TempDir()));
}

// Guards against sample settings that no longer match the code.
TEST(SettingsTest, ExamplesAreValid) {
  for (const auto* name : {"chujio-hub", "kestrelfield"}) {
    const auto settings = LoadSettings(std::string(DOTTERELLUG_SOURCE_DIR) +
                                       "/examples/" + name + "/daemon.yaml");
    ASSERT_TRUE(settings) << settings.error().Text();
    EXPECT_TRUE(std::ifstream(settings->key_files.digest));
  }
}

// Guards against a reference page that lacks a setting or states another
// default than the code.
TEST(SettingsTest, ReferencePageContainsTheGeneratedTable) {
  std::ifstream page(std::string(DOTTERELLUG_SOURCE_DIR) +
                     "/docs/operations/settings.md");
  const std::string text{std::istreambuf_iterator<char>(page),
                         std::istreambuf_iterator<char>()};
  EXPECT_NE(text.find("\n" + SettingsMarkdown() + "\n"), std::string::npos)
      << "replace the table by the output of dotterellugctl settings:\n"
      << SettingsMarkdown();
}

}  // namespace
}  // namespace dotterellug
