#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include "placement/placement.h"
#include "upstream/upstream.h"

namespace dotterellug {

// A command with the engine's address.
struct AddressedCommand {
  UpstreamTarget target;
  EngineCommand command;
};

// Sends commands to engines on threads of its own, since a load takes long and
// an engine can be silent. Asks for permission right before each send.
class CommandSender {
 public:
  using Authorize = std::function<auto(const EngineCommand&)->bool>;
  // Gets the engine's answer; commands without one are sent again by
  // CommandLog.
  using Answered = std::function<auto(const CommandAnswer&)->void>;

  CommandSender(Authorize authorize, Answered answered);
  CommandSender(const CommandSender&) = delete;
  auto operator=(const CommandSender&) -> CommandSender& = delete;
  ~CommandSender();

  auto Send(AddressedCommand command) -> void;

 private:
  static constexpr std::size_t kThreads = 4;

  auto Run() -> void;
  auto Perform(const AddressedCommand& command) -> void;

  Authorize authorize_;
  Answered answered_;
  std::mutex mutex_;
  std::condition_variable queued_;
  std::deque<AddressedCommand> queue_;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace dotterellug
