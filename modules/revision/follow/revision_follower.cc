#include "revision/follow/revision_follower.h"

namespace dotterellug {

auto RevisionFollower::OnStoreAnswer(const RevisionRef& ref) -> OfferResult {
  store_pending_ = false;
  answered_ = true;
  return Offer(ref);
}

auto RevisionFollower::OnPeerAnswer(const InstanceId& peer,
                                    const RevisionRef& ref) -> OfferResult {
  unanswered_.erase(peer);
  // A peer that has no revision itself, such as one that starts at the same
  // time, says nothing about the latest one.
  if (ref.number > RevisionNumber(0)) answered_ = true;
  return Offer(ref);
}

auto RevisionFollower::OnStoreFailure() -> void {
  store_pending_ = false;
  UpdateReady();
}

auto RevisionFollower::OnPeerFailure(const InstanceId& peer) -> void {
  unanswered_.erase(peer);
  UpdateReady();
}

auto RevisionFollower::Adopt(const RevisionRef& ref) -> bool {
  if (ref.number <= current_.number) {
    ++ignored_;
    return false;
  }
  current_ = ref;
  if (ref.number > target_.number) target_ = ref;
  UpdateReady();
  return true;
}

auto RevisionFollower::UpdateReady() -> void {
  ready_ = ready_ || (!store_pending_ && unanswered_.empty() && answered_ &&
                      current_.number > RevisionNumber(0) &&
                      current_.number >= target_.number);
}

auto RevisionFollower::Offer(const RevisionRef& ref) -> OfferResult {
  if (ref.number > target_.number) target_ = ref;
  UpdateReady();
  if (ref.number > current_.number) return OfferResult::kFetch;
  if (ref.number == current_.number) return OfferResult::kCurrent;
  ++ignored_;
  return OfferResult::kIgnored;
}

}  // namespace dotterellug
