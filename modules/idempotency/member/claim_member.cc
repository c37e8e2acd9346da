#include "idempotency/member/claim_member.h"

namespace dotterellug {
namespace {

// Bounds memory during a long outage; a refused countersignature makes the
// owner reject the claim as not run.
constexpr std::size_t kMaxKeptClaims = 4096;

}  // namespace

ClaimMember::ClaimMember(ShardId shard, MemberId self)
    : shard_(std::move(shard)), self_(std::move(self)) {}

auto ClaimMember::OnCountersign(const CountersignRequest& request)
    -> std::optional<Countersigned> {
  if (!fence_.Obeys(request.term)) return std::nullopt;
  if (!Keep(request.record)) return std::nullopt;
  return Countersigned{shard_, request.term, request.record.key,
                       request.record.claimant, self_};
}

auto ClaimMember::Keep(const ClaimRecord& record) -> bool {
  const std::pair id(record.key, record.claimant);
  if (kept_.size() >= kMaxKeptClaims && kept_.count(id) == 0) return false;
  kept_.emplace(id, record);
  return true;
}

auto ClaimMember::Acknowledge(Term term) -> std::optional<ClaimReport> {
  if (!fence_.Acknowledge(term)) return std::nullopt;
  ClaimReport report{shard_, term, self_, {}};
  for (const auto& [id, record] : kept_) report.kept.push_back(record);
  return report;
}

auto ClaimMember::Expire(WallTime now, Duration retention) -> void {
  for (auto entry = kept_.begin(); entry != kept_.end();) {
    const bool expired = entry->second.claimed_at + retention <= now;
    entry = expired ? kept_.erase(entry) : std::next(entry);
  }
}

}  // namespace dotterellug
