#include "budget/meter/token_bucket.h"

#include <algorithm>
#include <utility>

namespace dotterellug {
namespace {

// Clocks of two machines may differ in rate; transferred tokens decay faster by
// this much so that refill elsewhere never outpaces the decay.
constexpr std::int64_t kDecayPercent = 105;

// Open charges with a refundable part. When there are more, the oldest can no
// longer be refunded; its part is the next to flow over anyway.
constexpr std::int64_t kMaxOpenCharges = 512;

auto Scale(std::int64_t value, PartsPerMillion part, PartsPerMillion whole)
    -> std::int64_t {
  __extension__ using Wide = __int128;
  return static_cast<std::int64_t>(static_cast<Wide>(value) * part.Value() /
                                   whole.Value());
}

}  // namespace

TokenBucket::TokenBucket(RateLimit limit, Timestamp now)
    : limit_(limit), refilled_at_(now), refundable_parts_(kMaxOpenCharges) {
  Derive();
}

auto TokenBucket::TryCharge(Tokens estimate, Timestamp now)
    -> std::optional<Charge> {
  Refill(now);
  const auto needed = estimate.Value() * kMicroTokensPerToken;
  if (needed > level_ + borrowed_) return std::nullopt;
  const auto from_borrowed = std::min(needed, borrowed_);
  const auto from_level = needed - from_borrowed;
  borrowed_ -= from_borrowed;
  level_ -= from_level;
  return Charge{ChargeKind::kTokens, estimate.Value(),
                AddRefundable(from_level)};
}

auto TokenBucket::Settle(const Charge& charge, Tokens used, Timestamp now)
    -> void {
  if (charge.kind != ChargeKind::kTokens) return;
  Refill(now);
  const auto refund_limit = TakeRefundable(charge.ticket);
  const auto unused = (charge.amount - used.Value()) * kMicroTokensPerToken;
  level_ += std::min(unused, refund_limit);
  Clamp();
}

auto TokenBucket::ChangeShare(PartsPerMillion share, MicroTokens brought,
                              Timestamp now) -> MicroTokens {
  Refill(now);
  const auto before = share_;
  share_ = share;
  Derive();
  if (share >= before) {
    level_ += brought.Value();
    Clamp();
    return MicroTokens(0);
  }
  const auto kept = Scale(level_, share, before);
  const auto released = level_ - kept;
  level_ = kept;
  TrimRefundable(refundable_ - Scale(refundable_, share, before));
  Clamp();
  return MicroTokens(released);
}

auto TokenBucket::ChangeLimit(RateLimit limit, Timestamp now) -> void {
  Refill(now);
  limit_ = limit;
  Derive();
  Clamp();
}

auto TokenBucket::Give(Tokens amount, Timestamp now) -> Tokens {
  Refill(now);
  const auto whole_tokens =
      std::max<std::int64_t>(level_, 0) / kMicroTokensPerToken;
  if (amount.Value() <= 0 || amount.Value() > whole_tokens) return Tokens(0);
  level_ -= amount.Value() * kMicroTokensPerToken;
  return amount;
}

auto TokenBucket::Receive(Tokens amount, Timestamp requested_at, Timestamp now)
    -> void {
  Refill(now);
  const auto age = now - requested_at;
  if (age > kMaxTransferAge) return;
  const auto decayed =
      age.count() * limit_.per_second.Value() * kDecayPercent / 100;
  borrowed_ += std::max<std::int64_t>(
      amount.Value() * kMicroTokensPerToken - decayed, 0);
}

auto TokenBucket::DecayDuring(Duration duration) const -> Tokens {
  const auto decay =
      duration.count() * limit_.per_second.Value() * kDecayPercent / 100;
  return Tokens(decay / kMicroTokensPerToken + 1);
}

auto TokenBucket::Available(Timestamp now) -> MicroTokens {
  Refill(now);
  return MicroTokens(level_ + borrowed_);
}

auto TokenBucket::Refill(Timestamp now) -> void {
  if (now <= refilled_at_) return;
  const auto elapsed =
      std::min<std::int64_t>((now - refilled_at_).count(), longest_refill_);
  refilled_at_ = now;
  const auto accrued = elapsed * rate_ + accrued_rest_;
  level_ += accrued / 1000;
  accrued_rest_ = accrued % 1000;
  if (borrowed_ > 0) {
    const auto decay =
        elapsed * limit_.per_second.Value() / 100 * kDecayPercent + 1;
    borrowed_ = std::max<std::int64_t>(borrowed_ - decay, 0);
  }
  Clamp();
}

auto TokenBucket::Clamp() -> void {
  level_ = std::min(level_, capacity_);
  TrimRefundable(refundable_ - (capacity_ - level_));
}

auto TokenBucket::AddRefundable(std::int64_t amount) -> std::int64_t {
  if (next_ticket_ - oldest_ticket_ == kMaxOpenCharges) {
    TakeRefundable(oldest_ticket_++);
  }
  refundable_parts_[next_ticket_ % kMaxOpenCharges] = amount;
  refundable_ += amount;
  return next_ticket_++;
}

auto TokenBucket::TakeRefundable(std::int64_t ticket) -> std::int64_t {
  if (ticket < oldest_ticket_ || ticket >= next_ticket_) return 0;
  auto& part = refundable_parts_[ticket % kMaxOpenCharges];
  refundable_ -= part;
  return std::exchange(part, 0);
}

auto TokenBucket::TrimRefundable(std::int64_t excess) -> void {
  while (excess > 0 && oldest_ticket_ < next_ticket_) {
    auto& part = refundable_parts_[oldest_ticket_ % kMaxOpenCharges];
    const auto taken = std::min(part, excess);
    part -= taken;
    refundable_ -= taken;
    excess -= taken;
    if (part == 0) ++oldest_ticket_;
  }
}

auto TokenBucket::Derive() -> void {
  capacity_ = limit_.burst.Value() * share_.Value();
  rate_ = limit_.per_second.Value() * share_.Value() / 1000;
  // Keeps the products in Refill below 2^62; a pause longer than this loses
  // refill, and the bucket is full by then unless its deficit is extreme.
  const auto fastest = std::max<std::int64_t>(
      {rate_, limit_.per_second.Value() * kDecayPercent, 1});
  longest_refill_ = (std::int64_t{1} << 62U) / fastest - 1;
}

}  // namespace dotterellug
