#include "budget/meter/token_bucket.h"

#include <algorithm>
#include <utility>

namespace dotterellug {
namespace {

// Transferred tokens decay 5% faster than the limit's rate, because the clocks
// of two machines may run at different rates and the refill of the source
// bucket must never outpace the decay.
constexpr std::int64_t kDecayPercent = 105;

// Number of open charges with refundable tokens. Beyond it the oldest charge
// can no longer be refunded; its refundable tokens are also the first that an
// overflow would deduct.
constexpr std::int64_t kMaxRefundableCharges = 512;

// Returns value * numerator / denominator without intermediate overflow.
auto Scale(std::int64_t value, PartsPerMillion numerator,
           PartsPerMillion denominator) -> std::int64_t {
  __extension__ using Int128 = __int128;
  return static_cast<std::int64_t>(static_cast<Int128>(value) *
                                   numerator.Value() / denominator.Value());
}

}  // namespace

TokenBucket::TokenBucket(RateLimit limit, Timestamp now)
    : limit_(limit),
      refilled_at_(now),
      refundable_by_id_(kMaxRefundableCharges) {
  UpdateDerivedValues();
}

auto TokenBucket::TryCharge(Tokens estimate, Timestamp now)
    -> std::optional<Charge> {
  Refill(now);
  const auto needed = estimate.Value() * kMicroTokensPerToken;
  if (needed > level_ + transferred_) return std::nullopt;
  const auto from_transferred = std::min(needed, transferred_);
  const auto from_level = needed - from_transferred;
  transferred_ -= from_transferred;
  level_ -= from_level;
  return Charge{ChargeKind::kTokens, estimate.Value(),
                AddRefundable(from_level)};
}

auto TokenBucket::CompleteCharge(const Charge& charge, Tokens used,
                                 Timestamp now) -> void {
  if (charge.kind != ChargeKind::kTokens) return;
  Refill(now);
  const auto refund_limit = TakeRefundable(charge.refund_id);
  const auto unused = (charge.amount - used.Value()) * kMicroTokensPerToken;
  level_ += std::min(unused, refund_limit);
  ClampToCapacity();
}

auto TokenBucket::ChangeShare(PartsPerMillion share, MicroTokens added_tokens,
                              Timestamp now) -> MicroTokens {
  Refill(now);
  const auto previous_share = share_;
  share_ = share;
  UpdateDerivedValues();
  if (share >= previous_share) {
    level_ += added_tokens.Value();
    ClampToCapacity();
    return MicroTokens(0);
  }
  const auto retained = Scale(level_, share, previous_share);
  const auto released = level_ - retained;
  level_ = retained;
  TrimRefundable(total_refundable_ -
                 Scale(total_refundable_, share, previous_share));
  ClampToCapacity();
  return MicroTokens(released);
}

auto TokenBucket::ChangeLimit(RateLimit limit, Timestamp now) -> void {
  Refill(now);
  limit_ = limit;
  UpdateDerivedValues();
  ClampToCapacity();
}

auto TokenBucket::TakeExactly(Tokens amount, Timestamp now) -> Tokens {
  Refill(now);
  const auto whole_tokens =
      std::max<std::int64_t>(level_, 0) / kMicroTokensPerToken;
  if (amount.Value() <= 0 || amount.Value() > whole_tokens) return Tokens(0);
  level_ -= amount.Value() * kMicroTokensPerToken;
  return amount;
}

auto TokenBucket::AddTransferred(Tokens amount, Timestamp requested_at,
                                 Timestamp now) -> void {
  Refill(now);
  const auto age = now - requested_at;
  if (age > kMaxTransferAge) return;
  const auto decayed =
      age.count() * limit_.per_second.Value() * kDecayPercent / 100;
  transferred_ += std::max<std::int64_t>(
      amount.Value() * kMicroTokensPerToken - decayed, 0);
}

auto TokenBucket::DecayDuring(Duration duration) const -> Tokens {
  const auto decay =
      duration.count() * limit_.per_second.Value() * kDecayPercent / 100;
  return Tokens(decay / kMicroTokensPerToken + 1);
}

auto TokenBucket::Available(Timestamp now) -> MicroTokens {
  Refill(now);
  return MicroTokens(level_ + transferred_);
}

auto TokenBucket::Refill(Timestamp now) -> void {
  if (now <= refilled_at_) return;
  const auto elapsed = std::min<std::int64_t>((now - refilled_at_).count(),
                                              max_refill_interval_us_);
  refilled_at_ = now;
  const auto accrued = elapsed * millitokens_per_second_ + accrued_remainder_;
  level_ += accrued / 1000;
  accrued_remainder_ = accrued % 1000;
  if (transferred_ > 0) {
    const auto decay =
        elapsed * limit_.per_second.Value() / 100 * kDecayPercent + 1;
    transferred_ = std::max<std::int64_t>(transferred_ - decay, 0);
  }
  ClampToCapacity();
}

auto TokenBucket::ClampToCapacity() -> void {
  level_ = std::min(level_, capacity_);
  TrimRefundable(total_refundable_ - (capacity_ - level_));
}

auto TokenBucket::AddRefundable(std::int64_t amount) -> std::int64_t {
  if (next_refund_id_ - oldest_refund_id_ == kMaxRefundableCharges) {
    TakeRefundable(oldest_refund_id_++);
  }
  refundable_by_id_[next_refund_id_ % kMaxRefundableCharges] = amount;
  total_refundable_ += amount;
  return next_refund_id_++;
}

auto TokenBucket::TakeRefundable(std::int64_t refund_id) -> std::int64_t {
  if (refund_id < oldest_refund_id_ || refund_id >= next_refund_id_) return 0;
  auto& refundable = refundable_by_id_[refund_id % kMaxRefundableCharges];
  total_refundable_ -= refundable;
  return std::exchange(refundable, 0);
}

auto TokenBucket::TrimRefundable(std::int64_t excess) -> void {
  while (excess > 0 && oldest_refund_id_ < next_refund_id_) {
    auto& refundable =
        refundable_by_id_[oldest_refund_id_ % kMaxRefundableCharges];
    const auto taken = std::min(refundable, excess);
    refundable -= taken;
    total_refundable_ -= taken;
    excess -= taken;
    if (refundable == 0) ++oldest_refund_id_;
  }
}

auto TokenBucket::UpdateDerivedValues() -> void {
  capacity_ = limit_.burst.Value() * share_.Value();
  millitokens_per_second_ = limit_.per_second.Value() * share_.Value() / 1000;
  // Keeps the products in Refill below 2^62. An interval between calls that is
  // longer is truncated and loses refill, but the bucket is full by then unless
  // its level was extremely negative.
  const auto max_rate = std::max<std::int64_t>(
      {millitokens_per_second_, limit_.per_second.Value() * kDecayPercent, 1});
  max_refill_interval_us_ = (std::int64_t{1} << 62U) / max_rate - 1;
}

}  // namespace dotterellug
