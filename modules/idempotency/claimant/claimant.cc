#include "idempotency/claimant/claimant.h"

#include <utility>

namespace dotterellug {

Claimant::Claimant(ShardId shard, MemberId self)
    : shard_(std::move(shard)), self_(std::move(self)) {}

auto Claimant::Begin(const ClaimKey& key, const RequestDigest& request)
    -> ClaimRequest {
  const ClaimantId id{self_, ++sequence_};
  const ClaimRequest message{shard_, key, request, id};
  claims_[id] = Claim{message, false, std::nullopt};
  return message;
}

auto Claimant::OnAnswer(const ClaimAnswer& answer,
                        const std::optional<MemberId>& owner) -> ClaimActions {
  const bool granted = std::holds_alternative<RunGranted>(answer.verdict);
  const auto found = claims_.find(answer.claimant);
  if (found == claims_.end()) {
    if (!granted || !owner) return {};
    return {SendClaimMessage{
        *owner,
        ClaimResult{
            shard_, answer.key, answer.claimant, ClaimState::kUnknown, {}}}};
  }
  auto& claim = found->second;
  if (claim.run || claim.result) return {};
  if (granted) {
    claim.run = true;
    return {RunCall{answer.key, answer.claimant}};
  }
  claims_.erase(found);
  return {AnswerCaller{answer.key, answer.claimant, answer.verdict}};
}

auto Claimant::Finish(const ClaimantId& claimant, ClaimState state,
                      const StoredResponse& response) -> void {
  const auto found = claims_.find(claimant);
  if (found == claims_.end() || found->second.result) return;
  auto& claim = found->second;
  claim.result =
      ClaimResult{shard_, claim.request.key, claimant, state, response};
}

auto Claimant::OnResultStored(const ClaimResultStored& stored) -> void {
  const auto found = claims_.find(stored.claimant);
  if (found == claims_.end() || !found->second.result) return;
  claims_.erase(found);
}

auto Claimant::Unanswered() const -> std::vector<ClaimMessage> {
  std::vector<ClaimMessage> messages;
  for (const auto& [id, claim] : claims_) {
    if (claim.result) {
      messages.emplace_back(*claim.result);
    } else if (!claim.run) {
      messages.emplace_back(claim.request);
    }
  }
  return messages;
}

}  // namespace dotterellug
