#include "daemon/control/command_sender.h"

#include <nlohmann/json.hpp>

#include "core/core.h"

namespace dotterellug {
namespace {

constexpr Duration kCommandTimeout = std::chrono::seconds(5);
// Terms and sequences share one fencing number towards engines.
constexpr std::int64_t kSequencesPerTerm = 1'000'000;

auto ActionOf(const EngineCommand& command) -> std::string {
  const std::string verb =
      command.kind == CommandKind::kLoad ? "load_" : "unload_";
  return verb + (command.item.IsAdapter() ? "adapter" : "model");
}

auto BodyOf(const EngineCommand& command) -> std::string {
  const auto fencing = command.fencing.term.Value() * kSequencesPerTerm +
                       command.fencing.sequence;
  const auto& item = command.item;
  return nlohmann::json({{"id", std::to_string(fencing)},
                         {"fencing", fencing},
                         {"action", ActionOf(command)},
                         {"name", item.IsAdapter() ? item.adapter.Value()
                                                   : item.model.Value()},
                         {"model", item.model.Value()},
                         {"version", item.version},
                         {"bytes", command.bytes.Value()}})
      .dump();
}

}  // namespace

CommandSender::CommandSender(Authorize authorize, Answered answered)
    : authorize_(std::move(authorize)), answered_(std::move(answered)) {
  for (auto& lane : lanes_) {
    threads_.emplace_back([this, &lane] { Run(&lane); });
  }
}

CommandSender::~CommandSender() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  for (auto& lane : lanes_) lane.queued.notify_all();
  for (auto& thread : threads_) thread.join();
}

auto CommandSender::Send(AddressedCommand command) -> void {
  auto& lane = lanes_[Hash64(command.command.engine.Value()) % kThreads];
  {
    const std::lock_guard lock(mutex_);
    lane.queue.push_back(std::move(command));
  }
  lane.queued.notify_one();
}

auto CommandSender::Run(Lane* lane) -> void {
  std::unique_lock lock(mutex_);
  while (true) {
    lane->queued.wait(
        lock, [this, lane] { return stopping_ || !lane->queue.empty(); });
    if (stopping_) return;
    const auto command = std::move(lane->queue.front());
    lane->queue.pop_front();
    lock.unlock();
    Perform(command);
    lock.lock();
  }
}

auto CommandSender::Perform(const AddressedCommand& addressed) -> void {
  const auto& command = addressed.command;
  UpstreamExchange exchange(addressed.target);
  UpstreamCall call;
  call.target = addressed.target;
  call.url = "/commands";
  call.body = BodyOf(command);
  if (!authorize_(command)) return;
  const auto head = exchange.Begin(call, kCommandTimeout);
  if (!head) return;
  CommandResponse answer;
  answer.engine = command.engine;
  answer.fencing = command.fencing;
  if (head->status == 200) {
    answer.outcome = CommandOutcome::kDone;
  } else if (head->status == 409) {
    answer.outcome = CommandOutcome::kStale;
  } else {
    answer.outcome = CommandOutcome::kFailed;
  }
  answered_(answer);
}

}  // namespace dotterellug
