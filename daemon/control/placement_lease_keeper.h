#pragma once

#include <optional>

#include "core/core.h"
#include "ownership/ownership.h"
#include "placement/placement.h"
#include "store/store.h"

namespace dotterellug {

// Obtains and renews the lease of the placement owner in the object
// `owner/placement`. Call Step a few times a second from one thread; it does
// at most two store calls.
class PlacementLeaseKeeper {
 public:
  static constexpr Duration kLength = std::chrono::seconds(6);

  PlacementLeaseKeeper(const MemberId& self, ObjectStore& store)
      : self_(self), store_(store), holder_(kLength), observer_(kLength) {}

  auto Step() -> void;
  // The lease while this process holds it.
  auto Lease(Timestamp now) const -> std::optional<OwnerLease>;
  auto Owner() const -> const std::optional<MemberId>& { return owner_; }

 private:
  auto ReadRecord() -> bool;
  auto TryTakeOver() -> void;
  auto Renew() -> void;
  auto Write(Term term) -> void;

  MemberId self_;
  ObjectStore& store_;
  LeaseHolder holder_;
  LeaseObserver observer_;
  bool holding_ = false;
  Term term_;
  ObjectVersion version_;
  std::optional<MemberId> owner_;
  std::int64_t renewal_ = 0;
  // A write whose outcome is unknown; a read decides.
  bool in_doubt_ = false;
  Timestamp renewed_at_;
};

}  // namespace dotterellug
