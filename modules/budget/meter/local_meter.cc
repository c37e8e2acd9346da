#include "budget/meter/local_meter.h"

#include "core/variant/overloaded.h"

namespace dotterellug {
namespace {

using MeterVariant = std::variant<TokenBucket, ConcurrencyLimiter>;

// Smallest change of the share of a rate limit that the owner makes.
constexpr PartsPerMillion kRateShareStep{100};

auto MakeMeter(const BudgetLimit& limit, Timestamp now) -> MeterVariant {
  return std::visit(
      Overloaded{[now](const RateLimit& rate) -> MeterVariant {
                   return TokenBucket(rate, now);
                 },
                 [](const ConcurrencyLimit& concurrency_limit) -> MeterVariant {
                   return ConcurrencyLimiter(concurrency_limit);
                 }},
      limit);
}

}  // namespace

LocalMeter::LocalMeter(const BudgetLimit& limit, Timestamp now)
    : meter_(MakeMeter(limit, now)) {}

auto LocalMeter::TryCharge(Tokens amount, Timestamp now)
    -> std::optional<Charge> {
  if (auto* bucket = std::get_if<TokenBucket>(&meter_)) {
    return bucket->TryCharge(amount, now);
  }
  return std::get<ConcurrencyLimiter>(meter_).TryAcquire(amount.Value());
}

auto LocalMeter::CompleteCharge(const Charge& charge, Tokens used,
                                Timestamp now) -> void {
  std::visit(
      Overloaded{[&](TokenBucket& bucket) {
                   bucket.CompleteCharge(charge, used, now);
                 },
                 [&](ConcurrencyLimiter& limiter) { limiter.Release(charge); }},
      meter_);
}

auto LocalMeter::ChangeShare(PartsPerMillion share, MicroTokens added_tokens,
                             Timestamp now) -> std::optional<MicroTokens> {
  using Released = std::optional<MicroTokens>;
  return std::visit(Overloaded{[&](TokenBucket& bucket) -> Released {
                                 return bucket.ChangeShare(share, added_tokens,
                                                           now);
                               },
                               [&](ConcurrencyLimiter& limiter) -> Released {
                                 if (!limiter.ChangeShare(share)) {
                                   return std::nullopt;
                                 }
                                 return MicroTokens(0);
                               }},
                    meter_);
}

auto LocalMeter::CancelDecrease() -> void {
  if (auto* limiter = std::get_if<ConcurrencyLimiter>(&meter_)) {
    limiter->CancelDecrease();
  }
}

auto LocalMeter::ChangeLimit(const BudgetLimit& limit, Timestamp now) -> void {
  if (auto* bucket = std::get_if<TokenBucket>(&meter_)) {
    if (const auto* rate = std::get_if<RateLimit>(&limit)) {
      bucket->ChangeLimit(*rate, now);
      return;
    }
  }
  if (auto* limiter = std::get_if<ConcurrencyLimiter>(&meter_)) {
    if (const auto* concurrency_limit = std::get_if<ConcurrencyLimit>(&limit)) {
      limiter->ChangeLimit(*concurrency_limit);
      return;
    }
  }
  const auto share = Share();
  meter_ = MakeMeter(limit, now);
  ChangeShare(share, MicroTokens(0), now);
}

auto LocalMeter::TakeExactly(Tokens amount, Timestamp now) -> Tokens {
  if (auto* bucket = std::get_if<TokenBucket>(&meter_)) {
    return bucket->TakeExactly(amount, now);
  }
  return Tokens(0);
}

auto LocalMeter::DecayDuring(Duration duration) const -> Tokens {
  const auto* bucket = std::get_if<TokenBucket>(&meter_);
  return bucket == nullptr ? Tokens(0) : bucket->DecayDuring(duration);
}

auto LocalMeter::AddTransferred(Tokens amount, Timestamp requested_at,
                                Timestamp now) -> void {
  if (auto* bucket = std::get_if<TokenBucket>(&meter_)) {
    bucket->AddTransferred(amount, requested_at, now);
  }
}

auto LocalMeter::Share() const -> PartsPerMillion {
  return std::visit([](const auto& meter) { return meter.Share(); }, meter_);
}

auto LocalMeter::ShareStep() const -> PartsPerMillion {
  const auto* limiter = std::get_if<ConcurrencyLimiter>(&meter_);
  return limiter == nullptr ? kRateShareStep : limiter->SharePerPermit();
}

auto LocalMeter::Available(Timestamp now) -> Tokens {
  if (auto* bucket = std::get_if<TokenBucket>(&meter_)) {
    return Tokens(bucket->Available(now).Value() / kMicroTokensPerToken);
  }
  const auto& limiter = std::get<ConcurrencyLimiter>(meter_);
  return Tokens(limiter.Permits() - limiter.InUse());
}

}  // namespace dotterellug
