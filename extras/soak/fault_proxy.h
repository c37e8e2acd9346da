#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "core/core.h"

namespace dotterellug::soak {

// What a proxy does to the bytes on its connections.
enum class LinkMode {
  kPass,
  // Hands each piece on after a pause.
  kDelay,
  // Takes bytes and hands none on, in both directions.
  kSilent,
  // Hands on what callers send and nothing of what comes back.
  kOneWay,
  // Keeps what arrives until the mode changes and hands it on then, also if its
  // sender has given up, as the kernel does for a process that is stopped.
  kHold,
};

// A TCP proxy on loopback for one link. Faults act on open connections too.
class FaultProxy {
 public:
  FaultProxy(boost::asio::io_context& loop, SocketAddress target);

  auto Address() const -> const SocketAddress& { return address_; }
  auto SetMode(LinkMode mode) -> void { mode_ = mode; }
  // Hands on this part of the refusals, and some other answers, once more: at
  // once, a little later or right before the next answer on the connection.
  auto RepeatAnswers(double part, std::uint64_t seed) -> void {
    repeated_part_ = part;
    random_ = Random(seed);
  }
  // Breaks this part of the answers and of the uploads: answers get an invalid
  // head, and uploads are answered by the proxy itself with a part of an answer
  // without length and a reset.
  auto BreakAnswers(double part, std::uint64_t seed) -> void {
    broken_part_ = part;
    break_random_ = Random(seed);
  }
  auto BrokenAnswers() const -> std::size_t { return broken_; }
  // Called with the request of each answer whose head is broken.
  std::function<void(const std::string& request)> on_broken_head;
  // Answers that were handed on once more, or wait to be.
  auto Copies() const -> std::size_t { return copies_; }
  // Closes all connections at once.
  auto ResetAll() -> void;

 private:
  struct Link;

  auto Accept() -> void;
  auto OnBytes(const std::shared_ptr<Link>& link, bool back, std::size_t size)
      -> void;
  auto Pump(const std::shared_ptr<Link>& link, bool back) -> void;
  auto Forward(const std::shared_ptr<Link>& link, bool back, std::size_t size)
      -> void;
  auto Close(const std::shared_ptr<Link>& link) -> void;
  // Adds copies to an answer that is handed on, or keeps them for later.
  auto AddCopies(Link& link, std::string& answer) -> void;
  auto SendLateCopy(const std::shared_ptr<Link>& link) -> void;
  // Whether the bytes of a caller or of a server are to be broken.
  auto DrawsBreak() -> bool;
  auto BreakHead(std::string& answer) -> void;
  auto BreakUpload(const std::shared_ptr<Link>& link, std::string_view request)
      -> void;

  boost::asio::io_context& loop_;
  SocketAddress target_;
  boost::asio::ip::tcp::acceptor acceptor_;
  SocketAddress address_;
  LinkMode mode_ = LinkMode::kPass;
  double repeated_part_ = 0;
  std::size_t copies_ = 0;
  double broken_part_ = 0;
  std::size_t broken_ = 0;
  Random random_{0};
  Random break_random_{0};
  std::set<std::shared_ptr<Link>> links_;
};

}  // namespace dotterellug::soak
