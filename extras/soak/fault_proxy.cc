#include "soak/fault_proxy.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace dotterellug::soak {
namespace {

using boost::asio::ip::tcp;

constexpr Duration kDelay = std::chrono::milliseconds(120);
constexpr auto kHoldInterval = std::chrono::milliseconds(5);
constexpr std::string_view kAnswerBegin = "HTTP/1.1 ";
// Of answers that are no refusals.
constexpr double kOtherRepeats = 0.2;
const std::set<std::string_view> kRefusals{"409", "421", "429", "503"};
constexpr Duration kShortestCopyDelay = std::chrono::milliseconds(2);
constexpr std::uint64_t kCopyDelays = 40;

auto Endpoint(const SocketAddress& address) -> tcp::endpoint {
  return {boost::asio::ip::make_address(address.host), address.port};
}

// The status of a complete answer, empty for other bytes. Servers write short
// answers in one piece.
auto StatusOfWhole(std::string_view bytes) -> std::string_view {
  constexpr std::string_view kLengthField = "\r\nContent-Length: ";
  constexpr std::string_view kHeadEnd = "\r\n\r\n";
  if (bytes.substr(0, kAnswerBegin.size()) != kAnswerBegin) return {};
  const auto head = bytes.find(kHeadEnd);
  const auto field = bytes.find(kLengthField);
  if (head == std::string_view::npos || field > head) return {};
  const auto length = std::strtoul(
      std::string(bytes.substr(field + kLengthField.size(), head)).c_str(),
      nullptr, 10);
  if (bytes.size() != head + kHeadEnd.size() + length) return {};
  return bytes.substr(kAnswerBegin.size(), 3);
}

// Requests with a longer body are uploads: their writers are still at it when
// an answer comes.
constexpr std::size_t kLongUpload = 1'000'000;
// Until the writer of an upload has stalled.
constexpr auto kStallTime = std::chrono::milliseconds(15);

auto FieldOf(std::string_view head, std::string_view name) -> std::string {
  const auto field = head.find("\r\n" + std::string(name) + ": ");
  if (field == std::string_view::npos) return {};
  const auto value = head.substr(field + name.size() + 4);
  return std::string(value.substr(0, value.find("\r\n")));
}

auto BeginsUpload(std::string_view bytes) -> bool {
  return bytes.substr(0, 5) == "POST " &&
         std::strtoul(FieldOf(bytes, "Content-Length").c_str(), nullptr, 10) >=
             kLongUpload;
}

}  // namespace

struct FaultProxy::Link {
  explicit Link(boost::asio::io_context& loop, tcp::socket socket)
      : caller(std::move(socket)),
        server(loop),
        timers{boost::asio::steady_timer(loop),
               boost::asio::steady_timer(loop)},
        copy_timer(loop) {}

  tcp::socket caller;
  tcp::socket server;
  // One buffer and one timer for each direction; the second is back.
  std::array<std::array<char, 16'384>, 2> buffers{};
  std::array<boost::asio::steady_timer, 2> timers;
  // A copy that is due before the next answer, or earlier when the timer runs
  // out, but never within an answer.
  std::string copy;
  bool copy_is_timed = false;
  boost::asio::steady_timer copy_timer;
};

FaultProxy::FaultProxy(boost::asio::io_context& loop, SocketAddress target)
    : loop_(loop),
      target_(std::move(target)),
      acceptor_(loop, Endpoint({"127.0.0.1", 0})),
      address_{"127.0.0.1", acceptor_.local_endpoint().port()} {
  Accept();
}

auto FaultProxy::Accept() -> void {
  acceptor_.async_accept(
      [this](boost::system::error_code error, tcp::socket socket) {
        if (error) return;
        const auto link = std::make_shared<Link>(loop_, std::move(socket));
        links_.insert(link);
        link->server.async_connect(
            Endpoint(target_), [this, link](boost::system::error_code failed) {
              if (failed) return Close(link);
              Pump(link, false);
              Pump(link, true);
            });
        Accept();
      });
}

auto FaultProxy::Pump(const std::shared_ptr<Link>& link, bool back) -> void {
  auto& from = back ? link->server : link->caller;
  from.async_read_some(
      boost::asio::buffer(link->buffers[back ? 1 : 0]),
      [this, link, back](boost::system::error_code error, std::size_t size) {
        if (error) return Close(link);
        OnBytes(link, back, size);
      });
}

auto FaultProxy::OnBytes(const std::shared_ptr<Link>& link, bool back,
                         std::size_t size) -> void {
  const bool swallowed =
      mode_ == LinkMode::kSilent || (back && mode_ == LinkMode::kOneWay);
  if (swallowed) return Pump(link, back);
  const bool holds = mode_ == LinkMode::kHold;
  if (!holds && mode_ != LinkMode::kDelay) return Forward(link, back, size);
  auto& timer = link->timers[back ? 1 : 0];
  timer.expires_after(holds ? kHoldInterval : kDelay);
  timer.async_wait(
      [this, link, back, size, holds](boost::system::error_code cancelled) {
        if (cancelled) return;
        if (holds) return OnBytes(link, back, size);
        Forward(link, back, size);
      });
}

auto FaultProxy::Forward(const std::shared_ptr<Link>& link, bool back,
                         std::size_t size) -> void {
  auto& to = back ? link->caller : link->server;
  const auto bytes =
      std::make_shared<std::string>(link->buffers[back ? 1 : 0].data(), size);
  if (!back && BeginsUpload(*bytes) && DrawsBreak()) {
    return BreakUpload(link, *bytes);
  }
  if (back) {
    AddCopies(*link, *bytes);
    if (bytes->rfind(kAnswerBegin, 0) == 0 && DrawsBreak()) BreakHead(*bytes);
  }
  boost::asio::async_write(
      to, boost::asio::buffer(*bytes),
      [this, link, back, bytes](boost::system::error_code error, std::size_t) {
        if (error) return Close(link);
        if (back && link->copy_is_timed) SendLateCopy(link);
        Pump(link, back);
      });
}

auto FaultProxy::AddCopies(Link& link, std::string& answer) -> void {
  if (answer.rfind(kAnswerBegin, 0) != 0) return;
  link.copy_timer.cancel();
  link.copy_is_timed = false;
  const auto whole = answer;
  answer.insert(0, std::exchange(link.copy, {}));
  const auto status = StatusOfWhole(whole);
  if (repeated_part_ <= 0 || status.empty()) return;
  const auto part =
      repeated_part_ * (kRefusals.count(status) > 0 ? 1 : kOtherRepeats);
  if (random_.Uniform() >= part) return;
  ++copies_;
  const auto when = random_.Below(3);
  if (when == 0) {
    answer += whole;
  } else {
    link.copy = whole;
    link.copy_is_timed = when == 1;
  }
}

auto FaultProxy::SendLateCopy(const std::shared_ptr<Link>& link) -> void {
  link->copy_is_timed = false;
  link->copy_timer.expires_after(
      kShortestCopyDelay +
      std::chrono::milliseconds(random_.Below(kCopyDelays)));
  link->copy_timer.async_wait([link](boost::system::error_code cancelled) {
    if (cancelled || link->copy.empty()) return;
    const auto copy = std::exchange(link->copy, {});
    boost::system::error_code ignored;  // The caller may have closed.
    link->caller.non_blocking(true, ignored);
    link->caller.write_some(boost::asio::buffer(copy), ignored);
  });
}

auto FaultProxy::DrawsBreak() -> bool {
  if (broken_part_ <= 0 || break_random_.Uniform() >= broken_part_) {
    return false;
  }
  ++broken_;
  return true;
}

auto FaultProxy::BreakHead(std::string& answer) -> void {
  if (on_broken_head) on_broken_head(FieldOf(answer, "Request-Id"));
  const auto first_field = answer.find("\r\n") + 2;
  switch (break_random_.Below(4)) {
    case 0:
      answer.replace(kAnswerBegin.size(), 3, "000");
      break;
    case 1:
      answer.insert(first_field, "A b: c\r\n");
      break;
    case 2:
      answer.insert(first_field, "A\x01: b\r\n");
      break;
    default:
      answer.insert(answer.find("\r\n", first_field), "\r\n folded");
  }
}

auto FaultProxy::BreakUpload(const std::shared_ptr<Link>& link,
                             std::string_view request) -> void {
  const auto answer = std::make_shared<std::string>(
      "HTTP/1.1 200 OK\r\nServer-Seal: x\r\nRequest-Id: " +
      FieldOf(request, "Request-Id") + "\r\n\r\npart");
  link->timers[0].expires_after(kStallTime);
  link->timers[0].async_wait([this, link,
                              answer](boost::system::error_code cancelled) {
    if (cancelled) return;
    boost::system::error_code ignored;  // The caller may have closed.
    boost::asio::write(link->caller, boost::asio::buffer(*answer), ignored);
    link->caller.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    Close(link);
  });
}

auto FaultProxy::Close(const std::shared_ptr<Link>& link) -> void {
  boost::system::error_code ignored;  // It may be closed already.
  link->caller.close(ignored);
  link->server.close(ignored);
  for (auto& timer : link->timers) timer.cancel();
  link->copy_timer.cancel();
  links_.erase(link);
}

auto FaultProxy::ResetAll() -> void {
  const auto links = links_;
  for (const auto& link : links) {
    boost::system::error_code ignored;  // It may be closed already.
    link->caller.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    Close(link);
  }
}

}  // namespace dotterellug::soak
