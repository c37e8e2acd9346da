#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "budget/limit/budget_limit.h"
#include "core/time/time.h"

namespace dotterellug {

enum class ChargeKind { kTokens, kPermits };

// What was taken for one admitted request; pass it to Settle once.
struct Charge {
  // A limit can change its kind while a charge is open; a charge of the other
  // kind is not settled against the new meter.
  ChargeKind kind = ChargeKind::kTokens;
  // Tokens for a rate, permits for a concurrency limit.
  std::int64_t amount = 0;
  // Identifies the part that can be refunded, within its bucket.
  std::int64_t ticket = 0;
};

// Transfers older than this are worthless and are discarded.
inline constexpr Duration kMaxTransferAge = std::chrono::minutes(1);

// A token bucket with rate and burst of a fleet-wide limit times a share.
//
// Over all buckets of one limit, whose shares sum to at most the whole, the
// spendable tokens never exceed the limit's burst. Two kinds of tokens would
// break this if they were added to a level, since the bucket they came from
// refills in the meantime:
// - Refunds: the level and the refundable parts of open charges together stay
//   within share * burst. What flows over is taken from the refundable part of
//   the oldest charge, as if the unused tokens had never been taken and had
//   flowed over. Each charge has its own part: a common sum would let one
//   refund use up the part of another charge.
// - Transferred tokens: they are kept apart and decay at the rate of the whole
//   limit from the time of the request, so refill elsewhere is paid for.
class TokenBucket {
 public:
  // Starts without share and tokens.
  TokenBucket(RateLimit limit, Timestamp now);

  // Takes `estimate` tokens if available. Does not allocate.
  auto TryCharge(Tokens estimate, Timestamp now) -> std::optional<Charge>;
  // Replaces the estimate by the tokens used. Use beyond the estimate is
  // subtracted in any case and may leave a negative level.
  auto Settle(const Charge& charge, Tokens used, Timestamp now) -> void;
  // Sets the share. An increase adds the tokens `brought` along. A decrease
  // returns the tokens released, which are the level's part that belongs to the
  // share given up; the level is then within the new burst.
  auto ChangeShare(PartsPerMillion share, MicroTokens added_tokens,
                   Timestamp now) -> MicroTokens;
  auto ChangeLimit(RateLimit limit, Timestamp now) -> void;
  // Transferred tokens that decay within `duration`, rounded up.
  auto DecayDuring(Duration duration) const -> Tokens;
  // Takes `amount` whole tokens out for a transfer; the result is `amount`, or
  // 0 when there are fewer.
  auto Give(Tokens amount, Timestamp now) -> Tokens;
  // Adds tokens of a transfer that was requested at `requested_at`.
  auto AddTransferred(Tokens amount, Timestamp requested_at, Timestamp now)
      -> void;

  auto Share() const -> PartsPerMillion { return share_; }
  auto Limit() const -> RateLimit { return limit_; }
  // Tokens that could be spent at `now`, negative while a deficit is open.
  auto Available(Timestamp now) -> MicroTokens;

 private:
  auto Refill(Timestamp now) -> void;
  auto ClampToCapacity() -> void;
  auto AddRefundable(std::int64_t amount) -> std::int64_t;
  auto TakeRefundable(std::int64_t ticket) -> std::int64_t;
  // Takes `excess` from the refundable parts, oldest charge first.
  auto TrimRefundable(std::int64_t excess) -> void;
  auto UpdateDerivedValues() -> void;

  RateLimit limit_;
  PartsPerMillion share_;
  Timestamp refilled_at_;
  // All in microtokens.
  std::int64_t capacity_ = 0;
  std::int64_t level_ = 0;
  std::int64_t transferred_ = 0;
  // Sum of the refundable parts, and the parts of the tickets from
  // oldest_ticket_ to next_ticket_, at index ticket % size.
  std::int64_t total_refundable_ = 0;
  std::vector<std::int64_t> refundable_by_ticket_;
  std::int64_t oldest_ticket_ = 0;
  std::int64_t next_ticket_ = 0;
  // Thousandths of a token per second, and the accrued rest below one
  // microtoken, in thousandths of it.
  std::int64_t millitokens_per_second_ = 0;
  std::int64_t accrued_remainder_ = 0;
  std::int64_t max_refill_interval_ = 0;
};

}  // namespace dotterellug
