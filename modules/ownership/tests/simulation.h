#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/random/random.h"
#include "ownership/agent/ownership_actions.h"
#include "store/port/object_record.h"

namespace dotterellug::testing {

// Undelivered messages of a simulated fleet. Each step delivers a random one,
// so messages are reordered and delayed without bound; some are lost or
// delivered twice.
class SimulatedNetwork {
 public:
  using Delivery = std::function<void()>;

  SimulatedNetwork(Random* random, int loss_percent, int duplicate_percent)
      : random_(random),
        loss_percent_(loss_percent),
        duplicate_percent_(duplicate_percent) {}

  auto Send(Delivery delivery) -> void {
    pending_.push_back(std::move(delivery));
  }
  auto Step() -> void {
    if (pending_.empty()) return;
    const auto index = random_->Below(pending_.size());
    const auto chance = static_cast<int>(random_->Below(100));
    auto delivery = pending_[index];
    if (chance >= duplicate_percent_) {
      pending_.erase(pending_.begin() + static_cast<std::ptrdiff_t>(index));
    }
    if (chance >= 100 - loss_percent_) return;
    delivery();
  }
  auto DeliverAll() -> void {
    while (!pending_.empty()) {
      auto delivery = std::move(pending_.front());
      pending_.erase(pending_.begin());
      delivery();
    }
  }
  auto SetFaults(int loss_percent, int duplicate_percent) -> void {
    loss_percent_ = loss_percent;
    duplicate_percent_ = duplicate_percent;
  }

 private:
  Random* random_;
  int loss_percent_;
  int duplicate_percent_;
  std::vector<Delivery> pending_;
};

// The object API as the protocols see it: conditional updates, responses lost
// after the call took effect, and outages. `checks_versions` off removes the
// condition, for tests that show that the condition is needed.
class SimulatedStore {
 public:
  SimulatedStore(SimulatedNetwork* network, Random* random)
      : network_(network), random_(random) {}

  bool available = true;
  bool checks_versions = true;

  auto Read(const std::string& name,
            const std::function<void(ObjectRecord)>& reply) -> void {
    network_->Send([this, name, reply] {
      if (!available) return;
      auto object = Get(name);
      network_->Send([reply, object] { reply(object); });
    });
  }
  auto Write(const WriteObject& write,
             const std::function<void(WriteOutcome)>& reply) -> void {
    network_->Send([this, write, reply] {
      const auto outcome = Apply(write);
      network_->Send([reply, outcome] { reply(outcome); });
    });
  }
  auto Get(const std::string& name) const -> ObjectRecord {
    const auto found = objects_.find(name);
    if (found == objects_.end()) return ObjectRecord{name, kAbsent, ""};
    return found->second;
  }

 private:
  auto Apply(const WriteObject& write) -> WriteOutcome {
    if (!available) return WriteOutcome::kNotDone;
    auto& object = objects_[write.name];
    if (checks_versions && object.version != write.expected) {
      return WriteOutcome::kConflict;
    }
    object = {write.name, object.version.Next(), write.value};
    return random_->Below(8) == 0 ? WriteOutcome::kUnknown
                                  : WriteOutcome::kDone;
  }

  SimulatedNetwork* network_;
  Random* random_;
  std::map<std::string, ObjectRecord> objects_;
};

}  // namespace dotterellug::testing
