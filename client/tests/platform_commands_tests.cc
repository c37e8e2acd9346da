#include <gtest/gtest.h>
#include <sys/stat.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "client/files/document_files.h"
#include "client/tests/run_named.h"
#include "standins/common/http_server.h"
#include "standins/object_api/object_api_server.h"

namespace dotterellug {
namespace {

// A deployment in memory that holds the example chujio-hub.
class PlatformCommandsTest : public testing::Test {
 protected:
  PlatformCommandsTest() {
    folder_ = testing::TempDir() + "/platform_commands_" +
              testing::UnitTest::GetInstance()->current_test_info()->name();
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
    options_.author = "ann";
    options_.digest_key_file = Example("chujio-hub") + "/keys/digest.key";
    options_.key_file = folder_ + "/key";
    auto options = options_;
    options.base = 0;
    for (const auto* name :
         {"zones", "limits", "models", "accounts", "upstreams"}) {
      const auto outcome =
          Run("section apply",
              {name, Example("chujio-hub") + "/" + name + ".yaml"}, options);
      EXPECT_EQ(outcome.code, ExitCode::kDone) << outcome.err;
    }
  }
  ~PlatformCommandsTest() override { std::filesystem::remove_all(folder_); }

  auto Run(const std::string& name, const std::vector<std::string>& arguments,
           const Options& options) -> Outcome {
    return RunNamed(name, arguments, options, MakeOutside());
  }
  auto Run(const std::string& name, const std::vector<std::string>& arguments)
      -> Outcome {
    return Run(name, arguments, options_);
  }

  auto MakeOutside() -> Outside {
    const auto pause = [](Duration) {};
    Outside outside;
    outside.open_deployment = [this, pause](const Options&) {
      RetryPolicy retry;
      retry.pause = pause;
      return Result<Deployment>(
          Deployment(ObjectStore(MemoryObjectStore(backend_)), retry));
    };
    outside.pause = pause;
    outside.fetch_status = [this](const SocketAddress& address, Duration) {
      return FetchStatus(address);
    };
    return outside;
  }

  // The daemon on port 1 has revision 5, that on port 2 one older, that on
  // port 3 a damaged status, that on port 5 all fields; others do not answer.
  static auto FetchStatus(const SocketAddress& address) -> Result<std::string> {
    if (address.port == 1) return R"({"instance":"e1","revision":5})";
    if (address.port == 2) return R"({"instance":"e2","revision":4})";
    if (address.port == 3) return R"({"revision":"5"})";
    if (address.port == 5) {
      return R"({"instance":"e5","availability_zone":"a","revision":6,
        "draining":true,"isolated":false,"placement_owner":true,
        "budget_owner":false,"claim_shards_owned":3,"currency_age_ms":120,
        "open_requests":7,"members":{"e1":"live","e2":"gone"},
        "budgets":{"account/x":{"share_ppm":250000,"available":-40}}})";
    }
    return Fail(ErrorKind::kUnavailable, "no answer", "");
  }

  auto Head() -> DeployedDocument {
    return MakeOutside().open_deployment(options_)->LoadHead().value();
  }
  auto HeadNumber() -> std::int64_t { return Head().ref.number.Value(); }

  auto AddFault(FaultKind kind, OperationKind operation, std::int64_t count)
      -> void {
    FaultRule rule;
    rule.fault = kind;
    rule.operation = operation;
    rule.prefix = kHeadObject;
    rule.count = count;
    backend_->AddFault(rule);
  }

  auto WriteFile(const std::string& name, const std::string& text) const
      -> std::string {
    const auto path = folder_ + "/" + name;
    std::ofstream(path) << text;
    return path;
  }

  std::shared_ptr<MemoryObjectBackend> backend_ =
      std::make_shared<MemoryObjectBackend>();
  std::string folder_;
  Options options_;
};

TEST_F(PlatformCommandsTest, BootstrapGivesTheExample) {
  EXPECT_EQ(HeadNumber(), 5);
  EXPECT_EQ(Head().document.models.size(), 18U);
}

// Guards against an apply of an unchanged text that makes a revision.
TEST_F(PlatformCommandsTest, ApplyOfWhatGetPrintedChangesNothing) {
  const auto got = Run("section get", {"models"});
  EXPECT_EQ(got.out.rfind("# revision 5\n", 0), 0U);
  const auto applied =
      Run("section apply", {"models", WriteFile("models", got.out)});
  EXPECT_EQ(applied.code, ExitCode::kDone) << applied.err;
  EXPECT_EQ(HeadNumber(), 5);
}

TEST_F(PlatformCommandsTest, GetShowsAnEarlierRevision) {
  ASSERT_EQ(Run("zones out", {"kilimani-a"}).code, ExitCode::kDone);
  auto options = options_;
  options.revision = 5;
  const auto got = Run("section get", {"zones"}, options);
  EXPECT_EQ(got.out.find("out: true"), std::string::npos);
  options.revision = 9;
  EXPECT_EQ(Run("section get", {"zones"}, options).code, ExitCode::kFailed);
}

// Guards against a lost concurrent edit.
TEST_F(PlatformCommandsTest, ApplyOnAnOldBaseKeepsOtherSectionsOrConflicts) {
  const auto limits = Run("section get", {"limits"}).out;
  ASSERT_EQ(Run("zones out", {"kilimani-a"}).code, ExitCode::kDone);
  const auto changed = limits + "# change\nqueue_length_per_class: 7\n";
  const auto path = WriteFile("limits", changed);
  EXPECT_EQ(Run("section apply", {"limits", path}).code, ExitCode::kFailed)
      << "a key that stands twice must be refused";
  const auto edited = Run("section edit", {"limits", "max_body=2MB"});
  ASSERT_EQ(edited.code, ExitCode::kDone) << edited.err;
  const auto ours = WriteFile("ours", "# revision 5\nmax_body: 3MB\n");
  const auto conflict = Run("section apply", {"limits", ours});
  EXPECT_EQ(conflict.code, ExitCode::kFailed);
  EXPECT_NE(conflict.err.find("max_body: default -> 2MB"), std::string::npos)
      << conflict.err;
  EXPECT_NE(conflict.err.find("max_body: default -> 3MB"), std::string::npos);
  EXPECT_EQ(Head().document.limits.max_body_bytes, 2'000'000);
  const auto zones = WriteFile(
      "models",
      "# revision 5\n" + Head().texts.Get(Section::kModels) + "# comment\n");
  EXPECT_EQ(Run("section apply", {"models", zones}).code, ExitCode::kDone);
  EXPECT_TRUE(Head().document.zones.at(AvailabilityZoneId("kilimani-a")).out);
}

TEST_F(PlatformCommandsTest, ApplyNeedsABase) {
  const auto path = WriteFile("limits", "max_body: 3MB\n");
  EXPECT_EQ(Run("section apply", {"limits", path}).code, ExitCode::kUsage);
  EXPECT_EQ(Run("section apply", {"limit", path}).code, ExitCode::kUsage);
}

// Guards against commands that are not safe to repeat and against a dry run
// that changes something.
TEST_F(PlatformCommandsTest, ZonesOutAndInAreRepeatable) {
  auto dry = options_;
  dry.dry_run = true;
  const auto shown = Run("zones out", {"kilimani-b"}, dry);
  EXPECT_EQ(shown.out, "zones ~ zones[kilimani-b].out: default -> true\n");
  EXPECT_EQ(HeadNumber(), 5);
  for (int i = 0; i < 2; ++i) {
    EXPECT_EQ(Run("zones out", {"kilimani-b"}).code, ExitCode::kDone);
    EXPECT_EQ(HeadNumber(), 6);
  }
  for (int i = 0; i < 2; ++i) {
    EXPECT_EQ(Run("zones in", {"kilimani-b"}).code, ExitCode::kDone);
    EXPECT_EQ(HeadNumber(), 7);
  }
  EXPECT_EQ(Run("zones out", {"kilimani-x"}).code, ExitCode::kFailed);
}

// Guards against an edit of the same section that is lost, whatever call it
// falls between.
TEST_F(PlatformCommandsTest, RacingEditsOfOneSectionBothSurvive) {
  constexpr int kCalls = 12;
  int conflicts = 0;
  for (int racing_call = 0; racing_call < kCalls; ++racing_call) {
    int calls = 0;
    auto outside = MakeOutside();
    outside.open_deployment = [&](const Options&) {
      const auto race = [&calls, racing_call, this] {
        if (calls++ != racing_call) return;
        EXPECT_EQ(Run("zones out", {"kilimani-b"}).code, ExitCode::kDone);
      };
      return Result<Deployment>(
          Deployment(ObjectStore(MemoryObjectStore(
                         backend_, std::chrono::seconds(1), race)),
                     RetryPolicy{}));
    };
    const auto outcome =
        RunNamed("zones out", {"kilimani-a"}, options_, outside);
    ASSERT_EQ(outcome.code, ExitCode::kDone) << outcome.err;
    if (outcome.err.find("was faster") != std::string::npos) ++conflicts;
    const auto document = Head().document;
    EXPECT_TRUE(document.zones.at(AvailabilityZoneId("kilimani-a")).out);
    EXPECT_EQ(document.zones.at(AvailabilityZoneId("kilimani-b")).out,
              racing_call < calls);
    for (const auto* zone : {"kilimani-a", "kilimani-b"}) {
      ASSERT_EQ(Run("zones in", {zone}).code, ExitCode::kDone);
    }
  }
  EXPECT_GT(conflicts, 0);
}

// Guards against a document without any zone to serve from.
TEST_F(PlatformCommandsTest, LastZoneStaysIn) {
  for (const auto* zone : {"kilimani-a", "kilimani-b", "kilimani-c"}) {
    ASSERT_EQ(Run("zones out", {zone}).code, ExitCode::kDone);
  }
  EXPECT_EQ(Run("zones out", {"kilimani-d"}).code, ExitCode::kFailed);
  EXPECT_EQ(HeadNumber(), 8);
}

// Guards against an edit that is made twice or reported as failed because its
// response was lost.
TEST_F(PlatformCommandsTest, LostResponseIsRecognised) {
  AddFault(FaultKind::kLostAfter, OperationKind::kPut, 1);
  const auto outcome = Run("zones out", {"kilimani-b"});
  EXPECT_EQ(outcome.code, ExitCode::kDone) << outcome.err;
  EXPECT_EQ(HeadNumber(), 6);
}

// Guards against an outage that is reported as success, and against waiting
// for ever.
TEST_F(PlatformCommandsTest, OutageFailsWithoutChange) {
  AddFault(FaultKind::kOutage, OperationKind::kPut, -1);
  const auto outcome = Run("zones out", {"kilimani-b"});
  EXPECT_EQ(outcome.code, ExitCode::kFailed);
  EXPECT_NE(outcome.err.find("safe"), std::string::npos) << outcome.err;
  backend_->ClearFaults();
  EXPECT_EQ(HeadNumber(), 5);
}

TEST_F(PlatformCommandsTest, InvalidEditIsRefusedWithItsFaults) {
  const auto outcome =
      Run("section edit", {"upstreams", "upstreams[language-1].zone=nowhere"});
  EXPECT_EQ(outcome.code, ExitCode::kFailed);
  EXPECT_NE(outcome.err.find("no such availability zone"), std::string::npos);
  EXPECT_EQ(HeadNumber(), 5);
}

// Guards against a key whose text is lost, readable for others, or issued
// twice by a repeated command.
TEST_F(PlatformCommandsTest, KeysAreIssuedRotatedAndRevoked) {
  for (int i = 0; i < 2; ++i) {
    const auto outcome = Run("keys rotate", {"catalogue"});
    ASSERT_EQ(outcome.code, ExitCode::kDone) << outcome.err;
    EXPECT_EQ(HeadNumber(), 6);
  }
  struct stat status {};
  ASSERT_EQ(stat(options_.key_file.c_str(), &status), 0);
  EXPECT_EQ(status.st_mode & 0777U, 0600U);
  std::string text;
  std::getline(std::ifstream(options_.key_file) >> std::ws, text);
  const auto digest_key = DigestKey::FromFile(options_.digest_key_file).value();
  const auto holder = KeyTable(Head().document, digest_key).Lookup(text);
  ASSERT_TRUE(holder);
  EXPECT_EQ(holder->account, ClientAccountId("catalogue"));
  auto third = options_;
  third.key_file += "3";
  EXPECT_EQ(Run("keys issue", {"catalogue"}, third).code, ExitCode::kFailed);
  EXPECT_FALSE(std::filesystem::exists(third.key_file));
  for (int i = 0; i < 2; ++i) {
    EXPECT_EQ(Run("keys revoke", {holder->key.Value()}).code, ExitCode::kDone);
    EXPECT_EQ(HeadNumber(), 7);
  }
  EXPECT_EQ(KeyTable(Head().document, digest_key).Lookup(text).error().kind,
            KeyRefusalKind::kRevoked);
  EXPECT_EQ(Run("keys issue", {"catalogue"}).code, ExitCode::kFailed)
      << "the key file holds a revoked key";
}

TEST_F(PlatformCommandsTest, KeyTextsAreShownNowhere) {
  const auto outcome = Run("keys issue", {"catalogue"});
  std::string text;
  std::getline(std::ifstream(options_.key_file) >> std::ws, text);
  const auto secret = text.substr(text.rfind('_') + 1);
  EXPECT_EQ((outcome.out + outcome.err).find(secret), std::string::npos);
  EXPECT_EQ(Run("keys issue", {"nobody"}).code, ExitCode::kFailed);
}

// Guards against a history that names the wrong section and a rollback that
// undoes other edits.
TEST_F(PlatformCommandsTest, RollbackIsANewRevisionOfOneSection) {
  ASSERT_EQ(Run("zones out", {"kilimani-a"}).code, ExitCode::kDone);
  ASSERT_EQ(Run("section edit", {"limits", "max_body=2MB"}).code,
            ExitCode::kDone);
  const auto outcome = Run("section rollback", {"zones", "5"});
  EXPECT_EQ(outcome.code, ExitCode::kDone) << outcome.err;
  EXPECT_FALSE(Head().document.zones.at(AvailabilityZoneId("kilimani-a")).out);
  EXPECT_EQ(Head().document.limits.max_body_bytes, 2'000'000);
  auto options = options_;
  options.output = OutputFormat::kYaml;
  options.limit = 2;
  const auto history = Run("section history", {}, options);
  EXPECT_EQ(history.code, ExitCode::kDone);
  const auto zones = history.out.find("sections: \"zones\"");
  const auto limits = history.out.find("sections: \"limits\"");
  ASSERT_NE(limits, std::string::npos) << history.out;
  EXPECT_LT(zones, limits);
  EXPECT_EQ(Run("section rollback", {"zones", "99"}).code, ExitCode::kFailed);
}

// Guards against a lagging daemon that is not named.
TEST_F(PlatformCommandsTest, WaitNamesDaemonsThatLag) {
  auto options = options_;
  options.timeout = Duration(0);
  options.daemons = "127.0.0.1:1";
  EXPECT_EQ(Run("wait", {}, options).code, ExitCode::kDone);
  options.daemons = "127.0.0.1:1,127.0.0.1:2,127.0.0.1:3,127.0.0.1:4";
  const auto outcome = Run("wait", {}, options);
  EXPECT_EQ(outcome.code, ExitCode::kFailed);
  EXPECT_NE(outcome.out.find("127.0.0.1:2  e2        4         lags"),
            std::string::npos)
      << outcome.out;
  EXPECT_NE(outcome.out.find("the status has no revision"), std::string::npos);
  EXPECT_NE(outcome.out.find("no answer"), std::string::npos);
  options.revision = 4;
  options.daemons = "127.0.0.1:1,127.0.0.1:2";
  EXPECT_EQ(Run("wait", {}, options).code, ExitCode::kDone);
  options.daemons = "";
  EXPECT_EQ(Run("wait", {}, options).code, ExitCode::kUsage);
}

// Guards against a field that is shown as another one, and against an absent
// field that is shown as a value.
TEST_F(PlatformCommandsTest, StatusShowsFieldsLagAndBudgets) {
  auto options = options_;
  options.daemons = "127.0.0.1:5,127.0.0.1:2";
  options.budgets = true;
  options.output = OutputFormat::kJson;
  const auto outcome = Run("status", {}, options);
  EXPECT_EQ(outcome.code, ExitCode::kDone) << outcome.err;
  const auto expected = nlohmann::json::parse(R"([
    {"daemon":"127.0.0.1:5","instance":"e5","zone":"a","revision":"6",
     "lag":"0","currency_age_ms":"120","open_requests":"7","draining":"yes",
     "isolated":"no","placement_owner":"yes","budget_owner":"no",
     "claim_shards_owned":"3","members_not_live":"e2 gone",
     "answer":"answered","account/x share_ppm":"250000",
     "account/x available":"-40"},
    {"daemon":"127.0.0.1:2","instance":"e2","zone":"-","revision":"4",
     "lag":"2","currency_age_ms":"-","open_requests":"-","draining":"-",
     "isolated":"-","placement_owner":"-","budget_owner":"-",
     "claim_shards_owned":"-","members_not_live":"-","answer":"answered",
     "account/x share_ppm":"-","account/x available":"-"}])");
  EXPECT_EQ(nlohmann::json::parse(outcome.out), expected);
  options.budgets = false;
  options.output = OutputFormat::kYaml;
  const auto yaml = Run("status", {}, options).out;
  EXPECT_NE(yaml.find("claim_shards_owned: \"3\""), std::string::npos) << yaml;
  EXPECT_EQ(yaml.find("account/x"), std::string::npos);
}

// Guards against a silent daemon that is left out or reported as success.
TEST_F(PlatformCommandsTest, StatusFailsWhenADaemonDoesNotAnswer) {
  auto options = options_;
  options.daemons = "127.0.0.1:4,127.0.0.1:3";
  const auto outcome = Run("status", {}, options);
  EXPECT_EQ(outcome.code, ExitCode::kFailed);
  EXPECT_NE(outcome.out.find("127.0.0.1:4  -"), std::string::npos)
      << outcome.out;
  EXPECT_NE(outcome.out.find("no answer"), std::string::npos);
  EXPECT_EQ(outcome.err, "1 of 2 daemons answered\n");
  options.daemons = "";
  EXPECT_EQ(Run("status", {}, options).code, ExitCode::kUsage);
}

// Guards against a program that differs from the commands tested above, such
// as a flag that does not arrive or an address that is not used.
TEST(PlatformProgramTest, WorksOverHttp) {
  standins::ObjectApiServer api(standins::ObjectApiRates{});
  const auto server = standins::HttpServer::Start(
      "127.0.0.1", 0, [&api](const standins::HttpRequest& request) {
        return api.Handle(request);
      });
  ASSERT_TRUE(server) << server.error().Text();
  const auto daemon = standins::HttpServer::Start(
      "127.0.0.1", 0, [](const standins::HttpRequest& request) {
        standins::HttpReply reply;
        reply.status = request.path == "/status" ? 200 : 404;
        reply.body = R"({"instance":"entry-1","revision":2})";
        return reply;
      });
  ASSERT_TRUE(daemon) << daemon.error().Text();
  const auto run = [&server](const std::string& arguments) {
    const auto line =
        std::string(DOTTERELLUGCTL) + " " + arguments +
        " --object-api 127.0.0.1:" + std::to_string((*server)->Port()) +
        " >/dev/null 2>/dev/null";
    return WEXITSTATUS(std::system(line.c_str()));
  };
  EXPECT_EQ(run("section apply zones " + Example("chujio-hub") +
                "/zones.yaml --base=0"),
            0);
  EXPECT_EQ(run("zones out kilimani-a --dry-run"), 0);
  EXPECT_EQ(run("zones out kilimani-a"), 0);
  EXPECT_EQ(run("section history"), 0);
  const auto daemons =
      "wait --daemons 127.0.0.1:" + std::to_string((*daemon)->Port());
  EXPECT_EQ(run(daemons), 0);
  EXPECT_EQ(std::system((std::string(DOTTERELLUGCTL) + " status --budgets" +
                         daemons.substr(4) + " >/dev/null 2>/dev/null")
                            .c_str()),
            0);
  EXPECT_EQ(run("zones out kilimani-b"), 0);
  EXPECT_EQ(run(daemons + " --timeout 0"), 1);
}

}  // namespace
}  // namespace dotterellug
