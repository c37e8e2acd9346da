#include "daemon/control/take_over_watch.h"

#include <algorithm>

namespace dotterellug {
namespace {

constexpr Duration kTakeOverAfter = std::chrono::seconds(1);
constexpr Duration kReadInterval = std::chrono::seconds(10);

}  // namespace

auto TakeOverWatch::ShouldTakeOver(const ShardAgent& agent, Timestamp now)
    -> bool {
  const auto& record = agent.KnownRecord();
  if (!agent.Registered() || !record) return false;
  if (record->owner && live_.count(*record->owner) > 0) {
    owner_missing_since_.reset();
    return false;
  }
  if (!owner_missing_since_) owner_missing_since_ = now;
  if (record->owner && now - *owner_missing_since_ < kTakeOverAfter) {
    return false;
  }
  const auto weight = [this](const MemberId& member) {
    return RendezvousWeight(shard_.Value(), member.instance.Value());
  };
  const auto best = std::max_element(
      live_.begin(), live_.end(),
      [&](const auto& a, const auto& b) { return weight(a) < weight(b); });
  return *best == self_;
}

auto TakeOverWatch::MaySkipRead(const ShardAgent& agent, Timestamp now)
    -> bool {
  const auto& record = agent.KnownRecord();
  const bool settled = agent.Registered() && record && record->owner &&
                       live_.count(*record->owner) > 0 &&
                       (!agent.OwnedTerm() || agent.MayAct());
  if (settled && read_at_ && now - *read_at_ < kReadInterval) return true;
  read_at_ = now;
  return false;
}

auto ReadOrAbsent(ObjectStore& store, const std::string& name)
    -> Result<ObjectRecord> {
  auto object = store.Get(name);
  if (!object && object.error().kind == ErrorKind::kNotFound) {
    return ObjectRecord{name, kAbsent, ""};
  }
  return object;
}

auto WriteOutcomeOf(const Result<ObjectVersion>& written) -> WriteOutcome {
  if (written) return WriteOutcome::kDone;
  if (written.error().kind == ErrorKind::kConflict) {
    return WriteOutcome::kConflict;
  }
  if (written.error().kind == ErrorKind::kOutcomeUnknown) {
    return WriteOutcome::kUnknown;
  }
  return WriteOutcome::kNotDone;
}

}  // namespace dotterellug
