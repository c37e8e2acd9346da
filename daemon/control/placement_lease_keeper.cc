#include "daemon/control/placement_lease_keeper.h"

#include <nlohmann/json.hpp>

namespace dotterellug {
namespace {

constexpr const char* kObject = "owner/placement";
constexpr Duration kRenewInterval = std::chrono::milliseconds(1500);

struct LeaseRecord {
  MemberId owner;
  Term term;
  std::int64_t renewal = 0;
};

// Nothing if the text is no record, such as one of another writer.
auto ParseRecord(const std::string& text) -> std::optional<LeaseRecord> {
  // nlohmann::json throws on wrong types.
  try {
    const auto json = nlohmann::json::parse(text);
    return LeaseRecord{
        MemberId{InstanceId(json.value("instance", "")),
                 Incarnation(json.value("incarnation", std::int64_t{0}))},
        Term(json.value("term", std::int64_t{0})),
        json.value("renewal", std::int64_t{0})};
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

auto PlacementLeaseKeeper::Lease(Timestamp now) const
    -> std::optional<OwnerLease> {
  if (!holding_ || !holder_.MayAct(now)) return std::nullopt;
  // The allowance for clock rates is within MayAct; a step of this length is
  // re-checked by PlacementReconciler before each command.
  auto until = now;
  while (holder_.MayAct(until + std::chrono::milliseconds(100))) {
    until += std::chrono::milliseconds(100);
  }
  return OwnerLease{term_, until};
}

auto PlacementLeaseKeeper::Step() -> void {
  if (in_doubt_ && !ReadRecord()) return;
  if (holding_) {
    if (MonotonicNow() - renewed_at_ >= kRenewInterval) Renew();
    return;
  }
  if (ReadRecord()) TryTakeOver();
}

// Reads who owns the shard; after a write in doubt, finds out whether it took
// effect. False when the store does not answer.
auto PlacementLeaseKeeper::ReadRecord() -> bool {
  const auto asked_at = MonotonicNow();
  const auto object = store_.Get(kObject);
  if (!object && object.error().kind != ErrorKind::kNotFound) return false;
  in_doubt_ = false;
  if (!object) {
    version_ = kAbsent;
    return true;
  }
  const auto record = ParseRecord(object->value);
  if (!record) return false;
  if (object->version < version_) return true;
  version_ = object->version;
  observer_.Observe(object->version, asked_at);
  owner_ = record->owner;
  const bool mine = *owner_ == self_;
  if (mine && record->renewal == renewal_) {
    holder_.ConfirmRenewal();
    holding_ = true;
    term_ = record->term;
    return true;
  }
  if (holding_ && !mine) {
    holding_ = false;
    holder_.Release();
  }
  if (!holding_) term_ = record->term;
  return true;
}

auto PlacementLeaseKeeper::TryTakeOver() -> void {
  if (holding_) return;
  if (version_ != kAbsent && !observer_.MayTakeOver(MonotonicNow())) return;
  Write(term_.Next());
}

auto PlacementLeaseKeeper::Renew() -> void { Write(term_); }

auto PlacementLeaseKeeper::Write(Term term) -> void {
  ++renewal_;
  renewed_at_ = MonotonicNow();
  holder_.BeginRenewal(renewed_at_);
  const nlohmann::json record = {{"instance", self_.instance.Value()},
                                 {"incarnation", self_.incarnation.Value()},
                                 {"term", term.Value()},
                                 {"renewal", renewal_}};
  const auto written = store_.Put(kObject, record.dump(), version_);
  if (written) {
    version_ = *written;
    holding_ = true;
    term_ = term;
    owner_ = self_;
    holder_.ConfirmRenewal();
    return;
  }
  const auto kind = written.error().kind;
  if (kind == ErrorKind::kOutcomeUnknown || kind == ErrorKind::kConflict) {
    in_doubt_ = true;
  }
}

}  // namespace dotterellug
