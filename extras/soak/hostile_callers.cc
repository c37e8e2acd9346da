#include "soak/hostile_callers.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <memory>

#include "platform/standins/platform_documents.h"

namespace dotterellug::soak {
namespace {

namespace ip = boost::asio::ip;

// How long a message's connection stays open at most.
constexpr auto kLongest = std::chrono::seconds(2);

// Fields that leave doubt about where the body ends.
const std::vector<std::string> kDoubtfulFraming{
    "Transfer-Encoding: identity\r\n",
    "Transfer-Encoding: gzip\r\n",
    "Transfer-Encoding: chunked, identity\r\n",
    "Transfer-Encoding:\r\n",
    "Transfer-Encoding: x\r\n chunked\r\n",
    "Transfer-Encoding: identity\r\nContent-Length: 3\r\n",
    "Content-Length: 3\r\nContent-Length: 3\r\n",
    "Content-Length: 3, 3\r\n"};

// Fields whose values cannot be used.
const std::vector<std::string> kOddFields{
    "Model: m1/gr\xf6\xdf\r\n",
    "Model: \xed\xa0\xbd\r\n",
    "Prompt-Prefix: \xff:1,a:2\r\n",
    "Token-Count: 9223372036854775807,9223372036854775807\r\n",
    "Deadline-Ms: 9223372036854775807\r\n",
    "Deadline-Ms: 99999999999999999999\r\n"};

// One message on a connection of its own.
struct Attack {
  explicit Attack(boost::asio::io_context& loop) : socket(loop), timer(loop) {}

  ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  std::string bytes;
  std::array<char, 4096> buffer{};
};

auto ReadOn(const std::shared_ptr<Attack>& attack) -> void {
  attack->socket.async_read_some(
      boost::asio::buffer(attack->buffer),
      [attack](boost::system::error_code error, std::size_t) {
        if (error) {
          attack->timer.cancel();
          return;
        }
        ReadOn(attack);
      });
}

}  // namespace

auto HostileCallers::Start(Duration pause) -> void {
  timer_.expires_after(pause);
  timer_.async_wait([this, pause](boost::system::error_code error) {
    if (error) return;
    SendOne();
    Start(pause);
  });
}

auto HostileCallers::Message() -> std::string {
  platform::CallerRequest request;
  request.id = "hostile-" + std::to_string(++sent_);
  request.path = "/once/x";
  request.key = key;
  request.time_limit = kLongest;
  const auto form = random_.Below(3);
  // Names of models matter to engines only.
  if (form == 1) request.path = "/stream/x";
  auto outer = platform::EncodeCallerRequest(request);
  request.path = "/once/x";
  request.id = "hidden-" + std::to_string(sent_);
  const auto hidden = platform::EncodeCallerRequest(request);
  // Before the blank line that ends the head.
  const auto add = [&](const std::string& fields) {
    outer.insert(outer.size() - 2, fields);
  };
  switch (form) {
    case 0:
      add(kDoubtfulFraming[random_.Below(kDoubtfulFraming.size())]);
      return outer + hidden;
    case 1:
      add(kOddFields[random_.Below(kOddFields.size())]);
      return outer;
    default:
      return std::string(1 + random_.Below(2000), '\x01') + "\r\n\r\n" + hidden;
  }
}

auto HostileCallers::SendOne() -> void {
  if (targets.empty()) return;
  const auto& target = targets[random_.Below(targets.size())];
  const auto attack = std::make_shared<Attack>(loop_);
  attack->bytes = Message();
  attack->timer.expires_after(kLongest);
  attack->timer.async_wait([attack](boost::system::error_code error) {
    boost::system::error_code ignored;  // It may have ended by itself.
    if (!error) attack->socket.close(ignored);
  });
  attack->socket.async_connect(
      {ip::make_address(target.host), target.port},
      [attack](boost::system::error_code error) {
        if (error) {
          attack->timer.cancel();
          return;
        }
        boost::asio::async_write(
            attack->socket, boost::asio::buffer(attack->bytes),
            [attack](boost::system::error_code, std::size_t) {});
        ReadOn(attack);
      });
}

}  // namespace dotterellug::soak
