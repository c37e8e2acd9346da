#pragma once

#include <array>
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
  // PlacementReconciler.
  using Answered = std::function<auto(const CommandResponse&)->void>;

  CommandSender(Authorize authorize, Answered answered);
  CommandSender(const CommandSender&) = delete;
  auto operator=(const CommandSender&) -> CommandSender& = delete;
  ~CommandSender();

  auto Send(AddressedCommand command) -> void;

 private:
  static constexpr std::size_t kThreads = 4;

  // Commands to one engine stay in order: an engine that checks fencing
  // rejects one that a later one overtook.
  struct Lane {
    std::condition_variable queued;
    std::deque<AddressedCommand> queue;
  };

  auto Run(Lane* lane) -> void;
  auto Perform(const AddressedCommand& command) -> void;

  Authorize authorize_;
  Answered answered_;
  std::mutex mutex_;
  std::array<Lane, kThreads> lanes_;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace dotterellug
