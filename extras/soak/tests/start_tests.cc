#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <csignal>
#include <fstream>
#include <optional>
#include <set>

#include "soak/tests/daemon_fixture.h"

namespace dotterellug::soak {
namespace {

namespace ip = boost::asio::ip;

// File names of the shared libraries in a process's memory, without versions.
auto SharedLibraries(pid_t process) -> std::set<std::string> {
  std::set<std::string> libraries;
  std::ifstream maps("/proc/" + std::to_string(process) + "/maps");
  std::string line;
  while (std::getline(maps, line)) {
    const auto name = line.substr(line.rfind('/') + 1);
    const auto end = name.find(".so");
    if (end != std::string::npos) libraries.insert(name.substr(0, end));
  }
  return libraries;
}

// The first moments of a daemon's process.
class StartTest : public DaemonFixture {};

// Guards against soaks in which a connection that a stand-in closes or resets
// stays open, because a daemon started meanwhile holds it too.
TEST_F(StartTest, InheritsNoConnections) {
  WriteSettings();
  std::array<int, 2> pair{};
  ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM, 0, pair.data()), 0);
  ASSERT_TRUE(daemon_->Start());
  ASSERT_TRUE(RunFor(kLongest, [&] { return Listens(); }));
  ::close(pair[0]);
  char byte = 0;
  EXPECT_EQ(::recv(pair[1], &byte, 1, MSG_DONTWAIT), 0);
  EXPECT_TRUE(daemon_->Running());
  ::close(pair[1]);
}

// Guards against a process that a reload ends because it comes while the
// settings are read. They come through a pipe, so that reading them takes as
// long as the test wants.
TEST_F(StartTest, AReloadInTheFirstMomentsChangesNothing) {
  ASSERT_EQ(::mkfifo(settings_.c_str(), 0600), 0);
  ASSERT_TRUE(daemon_->Start());
  // The pipe can be opened for writing once the daemon reads it.
  int pipe = -1;
  ASSERT_TRUE(RunFor(kLongest, [&] {
    if (pipe < 0) pipe = ::open(settings_.c_str(), O_WRONLY | O_NONBLOCK);
    return pipe >= 0;
  }));
  for (int i = 0; i < 3; ++i) daemon_->Signal(SIGHUP);
  RunFor(std::chrono::milliseconds(50));
  ASSERT_FALSE(Ended());
  const auto text = platform::MakeSettingsFile(place_);
  ASSERT_EQ(::write(pipe, text.data(), text.size()),
            static_cast<ssize_t>(text.size()));
  ::close(pipe);
  EXPECT_TRUE(RunFor(kLongest, [this] { return Listens(); }));
  daemon_->Signal(SIGTERM);
  EXPECT_TRUE(RunFor(kLongest, [this] { return Ended(); }));
}

// Guards against libraries that make linking long, in which a signal ends the
// process (FAULT): those of the system and of the compiler, and those without
// an archive in Debian.
TEST_F(StartTest, LinksOnlyLibrariesThatItUses) {
  WriteSettings();
  ASSERT_TRUE(daemon_->Start());
  ASSERT_TRUE(RunFor(kLongest, [this] { return Listens(); }));
  const auto libraries = SharedLibraries(daemon_->Id());
  EXPECT_EQ(libraries.count("libstdc++"), 1U);
  const std::set<std::string> allowed{"ld-linux-x86-64",
                                      "ld-linux-aarch64",
                                      "libc",
                                      "libm",
                                      "libgcc_s",
                                      "libstdc++",
                                      "libasan",
                                      "libtsan",
                                      "libubsan",
                                      "libprometheus-cpp-core"};
  for (const auto& library : libraries) {
    EXPECT_EQ(allowed.count(library), 1U) << library;
  }
}

// Guards against a daemon that ends by itself, again and again, while an
// outgoing connection of another process has its port.
TEST_F(StartTest, WaitsForAnAddressThatIsInUse) {
  ip::tcp::acceptor other(loop_,
                          {ip::make_address(place_.ip), place_.Callers().port});
  WriteSettings();
  ASSERT_TRUE(daemon_->Start());
  RunFor(std::chrono::seconds(1));
  ASSERT_FALSE(Ended());
  other.close();
  EXPECT_TRUE(RunFor(kLongest, [this] { return Listens(); }));
}

// Guards against a daemon that gives up (FAULT) because its port stays taken
// for more than a minute.
TEST_F(StartTest, WaitsForAnAddressThatStaysInUse) {
  ip::tcp::acceptor other(loop_,
                          {ip::make_address(place_.ip), place_.Callers().port});
  WriteSettings();
  ASSERT_TRUE(daemon_->Start());
  EXPECT_FALSE(RunFor(std::chrono::seconds(62), [this] { return Ended(); }));
  other.close();
  EXPECT_TRUE(RunFor(kLongest, [this] { return Listens(); }));
}

// The same, and a stop while it waits.
TEST_F(StartTest, StopsWhileItWaitsForAnAddress) {
  const ip::tcp::acceptor other(
      loop_, {ip::make_address(place_.ip), place_.Callers().port});
  WriteSettings();
  ASSERT_TRUE(daemon_->Start());
  RunFor(std::chrono::milliseconds(500));
  daemon_->Signal(SIGTERM);
  EXPECT_TRUE(RunFor(kLongest, [this] { return Ended(); }));
}

// A port of a daemon that callers do not need.
struct InternalPort {
  const char* name;
  std::uint16_t port;
};

class InternalPortTest : public DaemonFixture,
                         public ::testing::WithParamInterface<InternalPort> {};

// Guards against a daemon that does not start (FAULT) because another process
// has a port that its callers do not need.
TEST_P(InternalPortTest, CallersAreServedWhileItIsInUse) {
  const SocketAddress address{place_.ip, GetParam().port};
  ip::tcp::acceptor other(loop_,
                          {ip::make_address(address.host), address.port});
  WriteSettings();
  ASSERT_TRUE(daemon_->Start());
  EXPECT_TRUE(RunFor(std::chrono::seconds(2), [this] { return Listens(); }));
  EXPECT_TRUE(Accepts(place_.Readiness()));
  other.close();
  EXPECT_TRUE(RunFor(kLongest, [&] { return Accepts(address); }));
  ASSERT_FALSE(Ended());
}

INSTANTIATE_TEST_SUITE_P(
    Ports, InternalPortTest,
    ::testing::Values(InternalPort{"Copies", platform::kPeerPort},
                      InternalPort{"Metrics", platform::kPeerPort + 1}),
    [](const auto& info) { return std::string(info.param.name); });

// How much of a settings file there is when the process starts; nothing if the
// file is missing.
struct PartOfFile {
  const char* name;
  std::optional<double> part;
};

class ReplacedSettingsTest : public DaemonFixture,
                             public ::testing::WithParamInterface<PartOfFile> {
 protected:
  auto WritePart() -> void {
    const auto text = platform::MakeSettingsFile(place_);
    const auto part = GetParam().part;
    if (!part) return;
    const auto size =
        static_cast<std::size_t>(static_cast<double>(text.size()) * *part);
    std::ofstream(settings_) << text.substr(0, size);
  }
};

// Guards against a process that ends at its start (FAULT) because the platform
// is replacing its settings file at that moment.
TEST_P(ReplacedSettingsTest, TheProcessWaitsForTheWholeFile) {
  WritePart();
  ASSERT_TRUE(daemon_->Start());
  RunFor(std::chrono::milliseconds(200));
  ASSERT_FALSE(Ended()) << daemon_->EndStatus();
  WriteSettings();
  EXPECT_TRUE(RunFor(kLongest, [this] { return Listens(); }));
}

// The same, and a stop while it waits.
TEST_P(ReplacedSettingsTest, AStopEndsTheWait) {
  WritePart();
  ASSERT_TRUE(daemon_->Start());
  RunFor(std::chrono::milliseconds(200));
  daemon_->Signal(SIGHUP);
  daemon_->Signal(SIGTERM);
  EXPECT_TRUE(RunFor(std::chrono::seconds(1), [this] { return Ended(); }));
  EXPECT_EQ(daemon_->EndStatus(), 0);
}

// Settings that stay wrong are not waited for without end.
TEST_P(ReplacedSettingsTest, AFileThatStaysWrongEndsTheProcess) {
  WritePart();
  ASSERT_TRUE(daemon_->Start());
  ASSERT_TRUE(RunFor(kLongest, [this] { return Ended(); }));
  ASSERT_TRUE(WIFEXITED(daemon_->EndStatus()));
  EXPECT_EQ(WEXITSTATUS(daemon_->EndStatus()), 2);
}

INSTANTIATE_TEST_SUITE_P(Parts, ReplacedSettingsTest,
                         ::testing::Values(PartOfFile{"Missing", std::nullopt},
                                           PartOfFile{"Empty", 0},
                                           PartOfFile{"Half", 0.5}),
                         [](const auto& info) {
                           return std::string(info.param.name);
                         });

// Guards against a daemon that does not start without the store.
TEST_F(StartTest, StartsWhileTheStoreIsAway) {
  store_.SetFaults({true});
  WriteSettings();
  ASSERT_TRUE(daemon_->Start());
  EXPECT_TRUE(RunFor(kLongest, [this] { return Listens(); }));
  RunFor(std::chrono::seconds(1));
  EXPECT_FALSE(Ended());
}

}  // namespace
}  // namespace dotterellug::soak
