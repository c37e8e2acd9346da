#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>

#include "client/commands/command_table.h"
#include "client/commands/file_commands.h"
#include "client/tests/run_named.h"
#include "document/document.h"

namespace dotterellug {
namespace {

// A folder with a copy of an example that a test may change.
class ExampleCopy {
 public:
  explicit ExampleCopy(const std::string& name)
      : folder_(testing::TempDir() + "/client_tests_" +
                testing::UnitTest::GetInstance()->current_test_info()->name()) {
    std::filesystem::remove_all(folder_);
    std::filesystem::copy(Example(name), folder_,
                          std::filesystem::copy_options::recursive);
  }
  ~ExampleCopy() { std::filesystem::remove_all(folder_); }

  auto Path(const std::string& file) const -> std::string {
    return folder_ + "/" + file;
  }

  auto Replace(const std::string& file, const std::string& from,
               const std::string& to) const -> void {
    std::ifstream in(Path(file));
    std::string text{std::istreambuf_iterator<char>(in),
                     std::istreambuf_iterator<char>()};
    const auto position = text.find(from);
    ASSERT_NE(position, std::string::npos);
    text.replace(position, from.size(), to);
    std::ofstream(Path(file)) << text;
  }

 private:
  std::string folder_;
};

TEST(ValidateCommandTest, AcceptsExamples) {
  for (const auto* name : {"chujio-hub", "kestrelfield"}) {
    const auto outcome = RunNamed("validate", {Example(name)});
    EXPECT_EQ(outcome.code, ExitCode::kDone) << outcome.out;
    EXPECT_EQ(outcome.out, "");
    EXPECT_NE(outcome.err.find("5 accounts"), std::string::npos);
  }
}

// Guards against a single file that is checked without the sections that it
// refers to.
TEST(ValidateCommandTest, ReadsOtherSectionsFromTheSameFolder) {
  const auto outcome =
      RunNamed("validate", {Example("chujio-hub") + "/upstreams.yaml"});
  EXPECT_EQ(outcome.code, ExitCode::kDone) << outcome.out;
}

// Guards against an exit code of 0 for a wrong document, on which a pipeline
// would continue.
TEST(ValidateCommandTest, ListsFaultsAndExitsWithOne) {
  const ExampleCopy copy("chujio-hub");
  copy.Replace("upstreams.yaml", "kilimani-b", "kilimani-x");
  copy.Replace("limits.yaml", "30s", "30");
  Options options;
  options.output = OutputFormat::kJson;
  const auto outcome = RunNamed("validate", {copy.Path("")}, options);
  EXPECT_EQ(outcome.code, ExitCode::kFailed);
  const auto faults = nlohmann::json::parse(outcome.out);
  ASSERT_EQ(faults.size(), 2U) << outcome.out;
  EXPECT_EQ(faults[0]["source"], "limits");
  EXPECT_EQ(faults[1]["value"], "kilimani-x");
}

TEST(ValidateCommandTest, ChecksDaemonSettings) {
  const ExampleCopy copy("chujio-hub");
  Options options;
  options.settings = true;
  EXPECT_EQ(RunNamed("validate", {copy.Path("daemon.yaml")}, options).code,
            ExitCode::kDone);
  copy.Replace("daemon.yaml", "drain: 5s", "drian: 5s");
  EXPECT_EQ(RunNamed("validate", {copy.Path("daemon.yaml")}, options).code,
            ExitCode::kFailed);
}

TEST(ValidateCommandTest, UnreadableFileIsAUsageError) {
  for (const auto* path :
       {"/nonexistent/zones.yaml", "/nonexistent/x.yaml", "/nonexistent"}) {
    EXPECT_EQ(RunNamed("validate", {path}).code, ExitCode::kUsage) << path;
  }
}

TEST(DiffCommandTest, ReportsChangedEntry) {
  const ExampleCopy copy("chujio-hub");
  copy.Replace("zones.yaml", "kilimani-b", "kilimani-b\n    out: true");
  const auto outcome = RunNamed("diff", {Example("chujio-hub"), copy.Path("")});
  EXPECT_EQ(outcome.code, ExitCode::kDone);
  EXPECT_EQ(outcome.out, "zones ~ zones[kilimani-b].out: default -> true\n");
}

// Guards against a printed entry that does not accept the printed key.
TEST(KeyGenerateCommandTest, EntryAcceptsTheKey) {
  Options options;
  options.account = "storefront";
  options.digest_key_file = Example("chujio-hub") + "/keys/digest.key";
  const auto outcome = RunNamed("key generate", {}, options);
  ASSERT_EQ(outcome.code, ExitCode::kDone) << outcome.err;
  const auto line_end = outcome.out.find('\n');
  const auto text = outcome.out.substr(5, line_end - 5);
  DocumentTexts texts;
  texts.Set(Section::kAccounts,
            "accounts:\n- {id: storefront, tokens_per_second: 1, "
            "burst_tokens: 1}\n" +
                outcome.out.substr(line_end + 1));
  const auto document = ParseDocument(texts);
  ASSERT_TRUE(document) << document.error().Text();
  const KeyTable table(*document,
                       *DigestKey::FromFile(options.digest_key_file));
  EXPECT_TRUE(table.Lookup(text));
}

TEST(KeyGenerateCommandTest, NeedsAccountAndDigestKey) {
  EXPECT_EQ(RunNamed("key generate", {}).code, ExitCode::kUsage);
}

// Guards against help and completion that forget a command.
TEST(CommandTableTest, HelpAndCompletionNameEveryCommand) {
  const auto completion = BashCompletion();
  for (const auto& command : AllCommands()) {
    EXPECT_NE(OverviewHelp().find(command.name), std::string::npos);
    EXPECT_NE(completion.find("\"" + command.name + "\")"), std::string::npos);
    for (const auto& flag : command.flags) {
      EXPECT_NE(CommandHelp(command).find(FlagText(flag) + " "),
                std::string::npos)
          << command.name << " " << flag;
    }
  }
}

// Guards against exit codes of the program that differ from the documented
// ones; gflags itself would exit with 1 for a wrong flag.
TEST(ProgramTest, ExitCodes) {
  const auto exit_code = [](const std::string& arguments) {
    const auto line = std::string(DOTTERELLUGCTL) + " " + arguments +
                      " >/dev/null 2>/dev/null";
    return WEXITSTATUS(std::system(line.c_str()));
  };
  EXPECT_EQ(exit_code("validate " + Example("chujio-hub")), 0);
  EXPECT_EQ(
      exit_code("validate --settings " + Example("chujio-hub") + "/zones.yaml"),
      1);
  EXPECT_EQ(exit_code("validate --help"), 0);
  EXPECT_EQ(exit_code("--help"), 0);
  EXPECT_EQ(exit_code(""), 2);
  EXPECT_EQ(exit_code("validate"), 2);
  EXPECT_EQ(exit_code("nonsense"), 2);
  EXPECT_EQ(exit_code("validate --nonsense x"), 2);
  EXPECT_EQ(exit_code("validate --account=a x"), 2);
  EXPECT_EQ(exit_code("settings --output=xml"), 2);
  EXPECT_EQ(exit_code("completion bash"), 0);
}

}  // namespace
}  // namespace dotterellug
