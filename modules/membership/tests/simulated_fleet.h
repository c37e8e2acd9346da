#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "core/random/random.h"
#include "membership/membership.h"

namespace dotterellug {

// A fleet of failure detectors on a simulated network with simulated time, for
// tests and benchmarks. Messages are encoded and decoded. Each member ticks
// every 100 ms and reads the instance list every second.
class SimulatedFleet {
 public:
  // Whether the network drops a message from one member to another.
  using Loss = std::function<bool(std::size_t from, std::size_t to)>;

  // Messages sent, including dropped ones.
  struct Traffic {
    std::int64_t messages = 0;
    // Encoded size of all messages, in bytes.
    std::int64_t bytes = 0;
    // Encoded size of the largest message, in bytes.
    std::size_t largest = 0;
  };

  // Starts `size` members with incarnation 1.
  SimulatedFleet(std::size_t size, std::uint64_t seed) : random_(seed) {
    for (std::size_t i = 0; i < size; ++i) Start(i, Incarnation(1));
  }

  // Starts a process on instance `index`, which replaces an earlier one.
  auto Start(std::size_t index, Incarnation incarnation) -> void {
    const auto name = InstanceName(index);
    MemberStatement self{
        InstanceId(name),
        {incarnation, StatementNumber(0)},
        AvailabilityZoneId("zone-" + std::to_string(index % 4)),
        "10.0.0.1:7400",
        false,
        false};
    if (index >= members_.size()) {
      members_.resize(index + 1);
      index_of_[InstanceId(name)] = index;
      list_[index] = ListedInstance{self.id, self.zone, self.address, false};
    }
    auto& member = members_[index];
    member.detector = std::make_unique<FailureDetector>(
        self, DetectorSettings{}, random_.Next());
    member.tick_offset =
        Duration(static_cast<std::int64_t>(random_.Below(100'000)));
    member.running = true;
  }

  auto DetectorOf(std::size_t index) -> FailureDetector& {
    return *members_[index].detector;
  }
  // Stops or resumes a process. A stopped process neither ticks nor receives;
  // messages to it are lost.
  auto SetRunning(std::size_t index, bool running) -> void {
    members_[index].running = running;
  }
  auto SetLoss(Loss loss) -> void { loss_ = std::move(loss); }
  auto RemoveFromList(std::size_t index) -> void { list_.erase(index); }
  // Marks a member as leaving in the instance list.
  auto SetListLeaving(std::size_t index) -> void {
    list_[index].leaving = true;
  }
  // Sets whether the instance list can be read.
  auto SetListAvailable(bool available) -> void { list_available_ = available; }

  // Advances simulated time by `time`.
  auto RunFor(Duration time) -> void {
    const auto end = now_ + time;
    while (now_ < end) {
      now_ += kTimeStep;
      Deliver();
      for (std::size_t i = 0; i < members_.size(); ++i) TickMember(i);
    }
  }

  auto Now() const -> Timestamp { return now_; }
  // Traffic since the start or the last ResetTraffic.
  auto TrafficTotals() const -> const Traffic& { return traffic_; }
  auto ResetTraffic() -> void { traffic_ = Traffic{}; }
  // Returns the events of a member since the last call.
  auto DrainEvents(std::size_t index) -> std::vector<MemberEvent> {
    return DetectorOf(index).TakeEvents();
  }
  // State of `member` as seen by `observer`; dead if it is unknown there.
  auto StateAt(std::size_t observer, std::size_t member) -> MemberState {
    const auto* record =
        DetectorOf(observer).Table().Find(InstanceId(InstanceName(member)));
    return record == nullptr ? MemberState::kDead : record->State();
  }
  auto InLiveSet(std::size_t observer, std::size_t member) -> bool {
    return DetectorOf(observer).Table().IsInLiveSet(
        InstanceId(InstanceName(member)), now_);
  }
  static auto InstanceName(std::size_t index) -> std::string {
    return "entry-" + std::to_string(index);
  }

 private:
  static constexpr Duration kTimeStep = std::chrono::milliseconds(10);
  static constexpr Duration kTickInterval = std::chrono::milliseconds(100);
  static constexpr Duration kListInterval = std::chrono::seconds(1);

  struct Member {
    std::unique_ptr<FailureDetector> detector;
    // Random phase of the ticks within 100 ms.
    Duration tick_offset{0};
    bool running = false;
    Timestamp next_tick{};
    Timestamp next_list_read{};
  };
  struct InFlight {
    std::size_t to = 0;
    std::vector<std::uint8_t> bytes;
  };

  auto Deliver() -> void {
    const auto batch = std::exchange(in_flight_, {});
    for (const auto& datagram : batch) {
      auto& member = members_[datagram.to];
      if (!member.running) continue;
      const auto message = DecodeMessage(datagram.bytes);
      Send(datagram.to, member.detector->OnMessage(*message, now_));
    }
  }

  auto TickMember(std::size_t index) -> void {
    auto& member = members_[index];
    if (!member.running || now_ < member.next_tick + member.tick_offset) return;
    member.next_tick = now_ + kTickInterval - member.tick_offset;
    if (list_available_ && now_ >= member.next_list_read) {
      member.next_list_read = now_ + kListInterval;
      std::vector<ListedInstance> list;
      for (const auto& entry : list_) list.push_back(entry.second);
      member.detector->OnInstanceList(list, now_);
    }
    Send(index, member.detector->Tick(now_));
  }

  auto Send(std::size_t from, const std::vector<OutgoingMessage>& outgoing)
      -> void {
    for (const auto& item : outgoing) {
      auto bytes = EncodeMessage(item.message);
      ++traffic_.messages;
      traffic_.bytes += static_cast<std::int64_t>(bytes.size());
      traffic_.largest = std::max(traffic_.largest, bytes.size());
      const auto to = index_of_.at(item.to);
      if (loss_ && loss_(from, to)) continue;
      in_flight_.push_back(InFlight{to, std::move(bytes)});
    }
  }

  Random random_;
  Timestamp now_{std::chrono::seconds(1000)};
  std::vector<Member> members_;
  std::map<InstanceId, std::size_t> index_of_;
  std::map<std::size_t, ListedInstance> list_;
  std::vector<InFlight> in_flight_;
  Loss loss_;
  bool list_available_ = true;
  Traffic traffic_;
};

}  // namespace dotterellug
