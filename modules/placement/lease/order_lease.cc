#include "placement/lease/order_lease.h"

namespace dotterellug {
namespace {

// How often the record is read by a daemon that waits for a silent holder.
constexpr double kReadPart = 0.2;
// A holder that released its lease may have given an order just before; its
// whole time to live is waited out.
constexpr double kQuietAfterRelease = 1.05;

}  // namespace

auto OrderLease::Next(bool contend, Timestamp now) -> Step {
  if (pending_) return Step::kNothing;
  if (holding_ && !read_first_) {
    if (now - renewed_at_ < Times(times_.renew)) return Step::kNothing;
    Propose(seen_.fence);
    write_began_ = now;
    return Step::kWrite;
  }
  if (!contend && !holding_) return Step::kNothing;
  if (known_ && !read_first_ && Stale(now)) {
    Propose(seen_.fence + 1);
    write_began_ = now;
    return Step::kWrite;
  }
  // Also after a failure, so that a store that refuses is not asked at once.
  if (read_at_ != Timestamp{} && now - read_at_ < Times(kReadPart)) {
    return Step::kNothing;
  }
  pending_ = true;
  read_at_ = now;
  return Step::kRead;
}

// Whether the record's holder has certainly stopped giving orders, apart from
// those that `quiet` waits out.
auto OrderLease::Stale(Timestamp now) const -> bool {
  if (seen_.revision == 0 || seen_.released || seen_.holder == self_) {
    return true;
  }
  // The last read must be recent, or the record may have changed since.
  return read_at_ - seen_since_ >= Times(times_.unchanged) &&
         now - read_at_ < Times(kReadPart);
}

auto OrderLease::Propose(std::int64_t fence) -> void {
  pending_ = true;
  proposal_ = {self_, fence, false, seen_.revision};
}

auto OrderLease::OnRead(const OrderLeaseRecord& record, Timestamp now) -> void {
  pending_ = false;
  read_first_ = false;
  const bool changed = !known_ || record.revision != seen_.revision;
  if (holding_ && changed &&
      (record.holder != self_ || record.fence != seen_.fence)) {
    holding_ = false;
  }
  if (changed) {
    const bool announced = record.revision == announced_revision_;
    seen_since_ = announced ? announced_at_ : now;
  }
  known_ = true;
  seen_ = record;
}

auto OrderLease::OnAnnounced(std::int64_t revision, Timestamp now) -> void {
  if (revision <= announced_revision_) return;
  announced_revision_ = revision;
  announced_at_ = now;
}

auto OrderLease::OnReadFailed(Timestamp) -> void { pending_ = false; }

auto OrderLease::OnWritten(std::int64_t revision, Timestamp now) -> void {
  pending_ = false;
  if (!holding_) {
    // A record that names this daemon may stand for a write of its own whose
    // answer was lost, or that an earlier process of it made, shortly after
    // another holder's last order. Only without any record is there nothing to
    // wait out.
    const bool first = seen_.revision == 0;
    const auto quiet = seen_.released ? kQuietAfterRelease : times_.quiet;
    may_order_from_ = first ? now : now + Times(quiet);
  }
  holding_ = true;
  renewed_at_ = write_began_;
  seen_ = proposal_;
  seen_.revision = revision;
  seen_since_ = now;
  known_ = true;
}

auto OrderLease::OnConflict(Timestamp) -> void {
  pending_ = false;
  read_first_ = true;
}

auto OrderLease::OnWriteFailed(Timestamp) -> void {
  pending_ = false;
  read_first_ = true;
}

auto OrderLease::MayOrder(Timestamp now) const -> std::optional<std::int64_t> {
  if (!holding_ || now < may_order_from_) return std::nullopt;
  if (now - renewed_at_ >= Times(times_.valid)) return std::nullopt;
  return seen_.fence;
}

auto OrderLease::OnFenced() -> void {
  holding_ = false;
  read_first_ = true;
}

auto OrderLease::Release() -> std::optional<OrderLeaseRecord> {
  if (!holding_) return std::nullopt;
  holding_ = false;
  auto record = seen_;
  record.released = true;
  return record;
}

}  // namespace dotterellug
