#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "budget/limit/budget_limit.h"
#include "core/time/time.h"

namespace dotterellug {

// The unit of a charge.
enum class ChargeKind { kTokens, kPermits };

// The tokens or permits taken for one admitted request. Pass it to
// CompleteCharge exactly once.
struct Charge {
  // The kind of a limit can change while a charge is open; a charge is settled
  // only against a meter of its own kind.
  ChargeKind kind = ChargeKind::kTokens;
  // Tokens for a rate, permits for a concurrency limit.
  std::int64_t amount = 0;
  // Identifies the refundable tokens of the charge in the bucket that it was
  // taken from.
  std::int64_t refund_id = 0;
};

// Maximum time from transfer request to grant; the tokens of a later grant are
// discarded.
inline constexpr Duration kMaxTransferAge = std::chrono::minutes(1);

// A token bucket whose rate and burst are those of a fleet-wide limit times a
// share. Not thread-safe.
//
// While the shares of all buckets of a limit add up to at most 100% (kWhole),
// the tokens that they can spend at any time never exceed the limit's burst.
// Adding refunded or transferred tokens to the level (the tokens in the bucket)
// would break this invariant, because the bucket that they were taken from has
// refilled in the meantime:
// - Refunds: the level and the refundable tokens of all open charges together
//   are limited to share * burst. Any overflow reduces the refundable tokens,
//   oldest charge first: these tokens would have overflowed if they had never
//   been taken. Refundable tokens are recorded for each charge, since with a
//   single sum the refund of one charge could use up the refundable tokens of
//   another.
// - Transfers: transferred tokens are kept in a separate balance. From the time
//   of the transfer request on, it decays at slightly more than the refill rate
//   of the full limit, which offsets the refill of the bucket that the tokens
//   came from.
class TokenBucket {
 public:
  // Starts with a share of zero and without tokens.
  TokenBucket(RateLimit limit, Timestamp now);

  // Takes `estimate` tokens; empty if fewer are available. Does not allocate
  // memory.
  auto TryCharge(Tokens estimate, Timestamp now) -> std::optional<Charge>;
  // Corrects a charge from the estimate to the tokens actually used. Usage
  // beyond the estimate is always deducted and may make the level negative.
  auto CompleteCharge(const Charge& charge, Tokens used, Timestamp now) -> void;
  // Sets the share. An increase adds `added_tokens` to the level. A decrease
  // returns the tokens released, which are the portion of the level that
  // corresponds to the decrease (negative if the level is); the remaining level
  // is within the new burst.
  auto ChangeShare(PartsPerMillion share, MicroTokens added_tokens,
                   Timestamp now) -> MicroTokens;
  // Replaces the limit; the share stays the same.
  auto ChangeLimit(RateLimit limit, Timestamp now) -> void;
  // The number of tokens by which a transferred balance decays within
  // `duration`, rounded up.
  auto DecayDuring(Duration duration) const -> Tokens;
  // Takes exactly `amount` tokens from the level, for a bucket elsewhere;
  // returns `amount`, or 0 if there are fewer.
  auto TakeExactly(Tokens amount, Timestamp now) -> Tokens;
  // Adds the tokens of a transfer requested at `requested_at`, reduced by their
  // decay since then.
  auto AddTransferred(Tokens amount, Timestamp requested_at, Timestamp now)
      -> void;

  auto Share() const -> PartsPerMillion { return share_; }
  auto Limit() const -> RateLimit { return limit_; }
  // Tokens that can be spent at `now`; negative while usage exceeds the tokens
  // accrued.
  auto Available(Timestamp now) -> MicroTokens;

 private:
  // Accrues tokens and decays transferred ones up to `now`.
  auto Refill(Timestamp now) -> void;
  // Limits the level to the capacity, and the refundable tokens to the capacity
  // that the level leaves free.
  auto ClampToCapacity() -> void;
  // Records the refundable tokens of a new charge; returns its refund_id.
  auto AddRefundable(std::int64_t amount) -> std::int64_t;
  // Removes and returns the refundable tokens of a charge.
  auto TakeRefundable(std::int64_t refund_id) -> std::int64_t;
  // Deducts `excess` from the refundable tokens, oldest charge first.
  auto TrimRefundable(std::int64_t excess) -> void;
  // Recomputes capacity and rate after a change of limit or share.
  auto UpdateDerivedValues() -> void;

  RateLimit limit_;
  PartsPerMillion share_;
  Timestamp refilled_at_;
  // All amounts are in microtokens.
  std::int64_t capacity_ = 0;
  std::int64_t level_ = 0;
  std::int64_t transferred_ = 0;
  // Refundable tokens of open charges: their sum, and the amounts for the ids
  // from oldest_refund_id_ up to next_refund_id_ (exclusive), at index id %
  // size.
  std::int64_t total_refundable_ = 0;
  std::vector<std::int64_t> refundable_by_id_;
  std::int64_t oldest_refund_id_ = 0;
  std::int64_t next_refund_id_ = 0;
  // The refill rate, and the accrued fraction of a microtoken in thousandths.
  std::int64_t millitokens_per_second_ = 0;
  std::int64_t accrued_remainder_ = 0;
  // Longer intervals between refills are truncated to this many microseconds.
  std::int64_t max_refill_interval_us_ = 0;
};

}  // namespace dotterellug
