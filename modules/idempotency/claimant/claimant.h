#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "idempotency/messages/claim_messages.h"

namespace dotterellug {

// The side of the daemon that received a call. It gives out RunCall at most
// once for each claim that it began, whatever answers arrive.
class Claimant {
 public:
  Claimant(ShardId shard, MemberId self);

  // Begins a claim; send the request to the shard's owner.
  auto Begin(const ClaimKey& key, const RequestDigest& request) -> ClaimRequest;
  // An answer to a claim that is not waiting for one changes nothing, except
  // that a grant for a claim given up is reported as of unknown outcome.
  auto OnAnswer(const ClaimAnswer& answer, const std::optional<MemberId>& owner)
      -> ClaimActions;
  // The call ended, or the caller's deadline passed before it ran; `response`
  // is what the caller got. Use kUnknown when it may have run.
  auto Finish(const ClaimantId& claimant, ClaimState state,
              const StoredResponse& response) -> void;
  auto OnResultStored(const ClaimResultStored& stored) -> void;
  // Requests and results that have no answer yet, for sending again.
  auto Unanswered() const -> std::vector<ClaimMessage>;

 private:
  struct Claim {
    ClaimRequest request;
    bool run = false;
    std::optional<ClaimResult> result;
  };

  ShardId shard_;
  MemberId self_;
  std::int64_t sequence_ = 0;
  std::map<ClaimantId, Claim> claims_;
};

}  // namespace dotterellug
