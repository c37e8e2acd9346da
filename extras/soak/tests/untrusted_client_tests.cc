#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "platform/standins/platform_documents.h"
#include "platform/standins/store_standin.h"
#include "platform/standins/upstream_standin.h"
#include "platform/wire/json_reading.h"
#include "soak/daemon_process.h"

namespace dotterellug::soak {
namespace {

namespace ip = boost::asio::ip;

// Limits of the daemon's instance, from its settings. Without clients that
// misbehave, the daemon uses about 15 MB and 30 descriptors.
constexpr std::size_t kRamMb = 96;
constexpr std::size_t kMaxDescriptors = 128;
constexpr int kClients = 40;
constexpr auto kAttackTime = std::chrono::seconds(4);
constexpr std::size_t kMaxBody = 4'194'304;

// A number in a file of /proc about a process, after the field name.
auto ReadStatus(pid_t process, const std::string& field) -> std::size_t {
  std::ifstream file("/proc/" + std::to_string(process) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.compare(0, field.size(), field) == 0) {
      return std::stoul(line.substr(field.size() + 1));
    }
  }
  return 0;
}

auto OpenDescriptors(pid_t process) -> std::size_t {
  std::error_code error;
  const std::filesystem::directory_iterator entries(
      "/proc/" + std::to_string(process) + "/fd", error);
  return error ? 0
               : static_cast<std::size_t>(
                     std::distance(begin(entries), end(entries)));
}

// What a misbehaving client sends on each connection.
struct Misbehavior {
  const char* name;
  // Header fields that announce the body.
  std::string framing;
  // The beginning of the body.
  std::string begin;
  // Sent again and again after that, up to `total` bytes.
  std::string rest;
  std::size_t total = std::string::npos;
  // Connections of one client at a time.
  int connections = 1;
  // Descriptors that the instance has.
  std::size_t descriptors = kMaxDescriptors;
};

// A client that connects again as soon as its connection ends. What it sent in
// full stays open until the daemon closes it.
class MisbehavingClient
    : public std::enable_shared_from_this<MisbehavingClient> {
 public:
  MisbehavingClient(boost::asio::io_context& loop, ip::tcp::endpoint target,
                    std::string head, const Misbehavior& behavior)
      : socket_(loop),
        timer_(loop),
        target_(std::move(target)),
        begin_(std::move(head) + behavior.begin),
        rest_(behavior.rest),
        total_(behavior.total) {}

  auto Start() -> void {
    socket_ = ip::tcp::socket(socket_.get_executor());
    sent_ = 0;
    ended_ = false;
    socket_.async_connect(target_, [self = shared_from_this()](auto error) {
      if (error) return self->StartAgain();
      self->Send(self->begin_);
      self->Read();
    });
  }
  auto Stop() -> void {
    stopped_ = true;
    timer_.cancel();
    boost::system::error_code ignored;  // It may be closed already.
    socket_.close(ignored);
  }

 private:
  auto Send(const std::string& bytes) -> void {
    boost::asio::async_write(
        socket_, boost::asio::buffer(bytes),
        [self = shared_from_this()](auto error, std::size_t count) {
          if (error) return self->StartAgain();
          self->sent_ += count;
          if (self->sent_ >= self->total_ || self->rest_.empty()) return;
          self->Send(self->rest_);
        });
  }
  auto Read() -> void {
    socket_.async_read_some(
        boost::asio::buffer(buffer_),
        [self = shared_from_this()](auto error, std::size_t) {
          if (error) return self->StartAgain();
          self->Read();
        });
  }
  auto StartAgain() -> void {
    if (stopped_ || ended_) return;
    ended_ = true;
    boost::system::error_code ignored;  // It may be closed already.
    socket_.close(ignored);
    timer_.expires_after(std::chrono::milliseconds(20));
    timer_.async_wait([self = shared_from_this()](auto error) {
      if (!error && !self->stopped_) self->Start();
    });
  }

  ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  ip::tcp::endpoint target_;
  std::string begin_;
  std::string rest_;
  std::size_t total_;
  std::array<char, 4096> buffer_{};
  std::size_t sent_ = 0;
  bool ended_ = false;
  bool stopped_ = false;
};

// A daemon as a process of its own, with the store, one upstream and its
// clients in this process.
class UntrustedClientTest : public ::testing::TestWithParam<Misbehavior> {
 protected:
  UntrustedClientTest() {
    const auto process = static_cast<unsigned>(::getpid());
    place_ = {"d1",
              "127." + std::to_string(20 + process % 200) + "." +
                  std::to_string(process / 200 % 250) + ".78",
              "a", store_.Address()};
    folder_ = std::filesystem::temp_directory_path() /
              ("dotterellug_untrusted_" + std::to_string(process));
    std::filesystem::create_directories(folder_);
    auto settings = platform::Json::parse(platform::MakeSettingsFile(place_));
    settings["limits"]["ramMb"] = kRamMb;
    settings["limits"]["maxFds"] = GetParam().descriptors;
    std::ofstream(folder_ / "d1.json") << settings.dump();
    platform::ConfigurationPlan plan;
    plan.version = 1;
    plan.routes = {{"read", "idempotent", "plain", std::chrono::seconds(5)}};
    plan.plain_pools = {"plain"};
    plan.engine_pool = "engines";
    plan.models = {"m1"};
    plan.accounts = {{"t", {"k"}}};
    platform::PutConfiguration(store_, plan);
    upstream_.Register(upstream_.Address());
    daemon_ = std::make_unique<DaemonProcess>(DaemonPlan{
        DOTTERELLUGD, platform::SettingsEnvironment(folder_ / "d1.json"),
        folder_ / "d1.log"});
  }
  ~UntrustedClientTest() override {
    for (const auto& client : clients_) client->Stop();
    daemon_.reset();
    std::filesystem::remove_all(folder_);
  }

  auto RunUntil(Duration longest, const std::function<bool()>& done) -> bool {
    const auto end = MonotonicNow() + longest;
    while (!done() && MonotonicNow() < end) {
      loop_.restart();
      loop_.run_for(std::chrono::milliseconds(10));
    }
    return done();
  }
  static auto IgnoreWork() -> platform::UpstreamObserver {
    platform::UpstreamObserver observer;
    observer.on_arrival = [](const auto&) {};
    observer.on_statement = [](const auto&, const auto&, bool) {};
    observer.on_run = [](const auto&, const auto&) {};
    observer.on_crash = [] {};
    observer.on_order = [](const auto&, std::int64_t) {};
    return observer;
  }
  auto Target() const -> ip::tcp::endpoint {
    return {ip::make_address(place_.ip), place_.Callers().port};
  }

  static auto Head(const std::string& id, const std::string& fields)
      -> std::string {
    platform::CallerRequest request;
    request.id = id;
    request.path = "/read/x";
    request.key = "k";
    request.time_limit = std::chrono::seconds(5);
    auto head = platform::EncodeCallerRequest(request);
    head.insert(head.size() - 2, fields);
    return head;
  }

  // The status that an ordinary request gets; empty if it gets none.
  auto Ask(const std::string& id, const std::string& body = "") -> std::string {
    ip::tcp::socket socket(loop_);
    auto bytes =
        Head(id,
             body.empty()
                 ? ""
                 : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
        body;
    std::string received;
    bool ended = false;
    std::array<char, 4096> buffer{};
    const std::function<void()> read = [&] {
      socket.async_read_some(boost::asio::buffer(buffer),
                             [&](auto error, std::size_t count) {
                               received.append(buffer.data(), count);
                               ended = error || received.size() >= 12;
                               if (!ended) read();
                             });
    };
    socket.async_connect(Target(), [&](auto error) {
      ended = static_cast<bool>(error);
      if (error) return;
      boost::asio::async_write(socket, boost::asio::buffer(bytes),
                               [](auto, std::size_t) {});
      read();
    });
    RunUntil(std::chrono::seconds(6), [&] { return ended; });
    boost::system::error_code ignored;  // It may not be open.
    socket.close(ignored);
    RunUntil(std::chrono::milliseconds(50), [] { return false; });
    return received.size() < 12 ? "" : received.substr(9, 3);
  }
  // Whether an ordinary request is answered within a few attempts, as its
  // caller makes them.
  auto IsServed(const std::string& body = "") -> bool {
    for (int i = 0; i < 20; ++i) {
      if (Ask("ordinary-" + std::to_string(i), body) == "200") return true;
      RunUntil(std::chrono::milliseconds(300), [] { return false; });
    }
    return false;
  }

  // Lets clients misbehave and returns the most descriptors that were open.
  auto Attack() -> std::size_t {
    const auto& behavior = GetParam();
    for (int i = 0; i < kClients * behavior.connections; ++i) {
      clients_.push_back(std::make_shared<MisbehavingClient>(
          loop_, Target(), Head("bad-" + std::to_string(i), behavior.framing),
          behavior));
      clients_.back()->Start();
    }
    std::size_t most = 0;
    RunUntil(kAttackTime, [&] {
      most = std::max(most, OpenDescriptors(daemon_->Id()));
      return !daemon_->Running();
    });
    return most;
  }

  boost::asio::io_context loop_;
  platform::StoreStandin store_{loop_, 1};
  platform::UpstreamStandin upstream_{
      loop_, store_, IgnoreWork(), {"u1", "plain", "a", 64, {}}, 1};
  platform::DaemonPlace place_;
  std::filesystem::path folder_;
  std::unique_ptr<DaemonProcess> daemon_;
  std::vector<std::shared_ptr<MisbehavingClient>> clients_;
};

// Guards against a daemon that clients bring beyond the memory or the
// descriptors of its instance, so that it ends, or that serves nobody else any
// more.
TEST_P(UntrustedClientTest, StaysWithinItsInstanceAndServesOthers) {
  ASSERT_TRUE(daemon_->Start());
  ASSERT_TRUE(IsServed());
  // A single request within the limits is served.
  EXPECT_TRUE(IsServed(std::string(kMaxBody, 'b')));
  const auto descriptors = Attack();
  ASSERT_TRUE(daemon_->Running());
  EXPECT_LT(ReadStatus(daemon_->Id(), "VmHWM:"), kRamMb * 1024);
  EXPECT_LT(descriptors, GetParam().descriptors);
  // The clients are still connected.
  EXPECT_TRUE(IsServed());
  EXPECT_TRUE(daemon_->Running());
}

const std::string kChunked = "Transfer-Encoding: chunked\r\n";
const std::string kBlock(65'536, 'x');

auto Repeat(const std::string& text, std::size_t bytes) -> std::string {
  std::string all;
  while (all.size() < bytes) all += text;
  return all;
}

INSTANTIATE_TEST_SUITE_P(
    Clients, UntrustedClientTest,
    ::testing::Values(
        Misbehavior{"EndlessTrailers", kChunked, "0\r\n",
                    Repeat("X-Trailer: some value\r\n", 65'536)},
        Misbehavior{"EndlessTrailer", kChunked, "0\r\nX: ", kBlock},
        Misbehavior{"EndlessChunkExtension", kChunked, "5;a=", kBlock},
        Misbehavior{"LargeChunksStoppedShort", kChunked, "",
                    "10000\r\n" + kBlock + "\r\n", kMaxBody - 70'000},
        Misbehavior{"OneByteChunksStoppedShort", kChunked, "",
                    Repeat("1\r\nx\r\n", 60'000), 6 * (kMaxBody - 70'000)},
        Misbehavior{"AnnouncedBodiesStoppedShort",
                    "Content-Length: " + std::to_string(kMaxBody) + "\r\n", "",
                    kBlock, kMaxBody - 70'000},
        Misbehavior{"LargeBodies",
                    "Content-Length: " + std::to_string(kMaxBody) + "\r\n", "",
                    std::string(kMaxBody, 'x'), kMaxBody},
        Misbehavior{"OversizedAnnounced", "Content-Length: 1000000000\r\n", "",
                    kBlock},
        Misbehavior{"OversizedChunked", kChunked, "",
                    "10000\r\n" + kBlock + "\r\n"},
        Misbehavior{"ManyConnections", "Content-Length: 10\r\n", "12345", "",
                    std::string::npos, 10},
        Misbehavior{"HeadsOfSmallFields", kChunked + Repeat("a:\r\n", 14'000),
                    "5\r\nhel", "", std::string::npos, 12, 1'200}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace dotterellug::soak
