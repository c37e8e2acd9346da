#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace dotterellug {
namespace {

namespace fs = std::filesystem;

// The programs of one build, started as an operator does.
class StandaloneProgramTest : public ::testing::Test {
 protected:
  StandaloneProgramTest() { fs::create_directories(folder_); }
  ~StandaloneProgramTest() override { fs::remove_all(folder_); }

  struct Outcome {
    int exit_code = 0;
    std::string errors;
  };
  auto Run(const std::string& program, const std::string& arguments) const
      -> Outcome {
    const auto errors = (folder_ / "errors").string();
    const auto line = program + " " + arguments + " >/dev/null 2>" + errors;
    const auto status = std::system(line.c_str());
    std::ostringstream text;
    text << std::ifstream(errors).rdbuf();
    return {WEXITSTATUS(status), text.str()};
  }

  fs::path folder_ = fs::temp_directory_path() /
                     ("dotterellug_programs_" + std::to_string(::getpid()));
  const std::string program_ = DOTTERELLUGD;
  const std::string settings_ =
      std::string(DOTTERELLUG_SOURCE_DIR) + "/examples/chujio-hub/daemon.yaml";
};

// Guards against flags and exit codes of dotterellugd that change because
// another program serves the product's own interface.
TEST_F(StandaloneProgramTest, IsStartedByTheDaemonWithItsFlags) {
  EXPECT_EQ(Run(program_, "--settings " + settings_ + " --check").exit_code, 0);
  EXPECT_EQ(Run(program_, "--check --settings=" + settings_).exit_code, 0);
  EXPECT_EQ(Run(program_, "--version").exit_code, 0);
  const auto none = Run(program_, "");
  EXPECT_EQ(none.exit_code, 2);
  EXPECT_NE(none.errors.find("no settings file given"), std::string::npos);
  const auto missing = Run(program_, "--settings /nowhere.yaml --check");
  EXPECT_EQ(missing.exit_code, 2);
  EXPECT_NE(missing.errors.find("/nowhere.yaml"), std::string::npos);
}

// Guards against a process that ends (FAULT) because its output has reached the
// system's limit on file sizes. `timeout` hands on how it ended.
TEST_F(StandaloneProgramTest, GoesOnWhenItsLogFileIsFull) {
  const auto log = (folder_ / "log").string();
  const auto line = "bash -c 'ulimit -f 0; exec timeout -s KILL 1 " + program_ +
                    " --settings " + settings_ + "' >" + log + " 2>&1";
  EXPECT_NE(WEXITSTATUS(std::system(line.c_str())), 128 + SIGXFSZ);
}

// Guards against a start that fails without saying which program is missing.
TEST_F(StandaloneProgramTest, IsNamedWhenItIsMissing) {
  const auto alone = folder_ / "dotterellugd";
  fs::copy_file(program_, alone);
  const auto outcome = Run(alone, "--settings " + settings_ + " --check");
  EXPECT_EQ(outcome.exit_code, 1);
  EXPECT_NE(outcome.errors.find("dotterellugd-standalone"), std::string::npos);
}

}  // namespace
}  // namespace dotterellug
