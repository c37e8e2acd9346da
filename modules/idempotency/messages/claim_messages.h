#pragma once

#include <variant>
#include <vector>

#include "core/errors/error.h"
#include "idempotency/record/claim_record.h"
#include "ownership/agent/ownership_actions.h"

namespace dotterellug {

// Asks the owner for permission to run a call. Repeated until answered; a
// repeated claim gets the recorded state.
struct ClaimRequest {
  ShardId shard;
  ClaimKey key;
  RequestDigest request;
  ClaimantId claimant;
};

// The claimant may run the call, once.
struct RunGranted {};
// Another claimant may be running it.
struct InProgress {};
// It has run; this was the first response.
struct FirstResponse {
  StoredResponse response;
};
// It may have run and must not run again.
struct OutcomeUnknown {};
// The key was used for another request.
struct DifferentRequest {};
// Not recorded and not run.
struct ClaimRejected {
  Error error;
};

using ClaimVerdict =
    std::variant<RunGranted, InProgress, FirstResponse, OutcomeUnknown,
                 DifferentRequest, ClaimRejected>;

struct ClaimAnswer {
  ShardId shard;
  ClaimKey key;
  ClaimantId claimant;
  ClaimVerdict verdict;
};

// The claimant's outcome: kDone with a response, or kUnknown. Repeated until
// acknowledged, which happens after it is in the store.
struct ClaimResult {
  ShardId shard;
  ClaimKey key;
  ClaimantId claimant;
  ClaimState state = ClaimState::kUnknown;
  StoredResponse response;
};

struct ClaimResultStored {
  ShardId shard;
  ClaimKey key;
  ClaimantId claimant;
};

// During a store outage, the owner asks a member to keep a copy of a claim.
struct CountersignRequest {
  ShardId shard;
  Term term;
  MemberId owner;
  ClaimRecord record;
};

struct Countersigned {
  ShardId shard;
  Term term;
  ClaimKey key;
  ClaimantId claimant;
  MemberId member;
};

// Acknowledgement of a term with the claims kept for former owners.
struct ClaimReport {
  ShardId shard;
  Term term;
  MemberId member;
  std::vector<ClaimRecord> kept;
};

using ClaimMessage = std::variant<TermAnnouncement, ClaimReport, ClaimRequest,
                                  ClaimAnswer, ClaimResult, ClaimResultStored,
                                  CountersignRequest, Countersigned>;

struct SendClaimMessage {
  MemberId to;
  ClaimMessage message;
};

// Run the call now, and report the outcome with ClaimShard::Finish. Given at
// most once for each claimant.
struct RunCall {
  ClaimKey key;
  ClaimantId claimant;
};

// Answer the caller without running the call.
struct AnswerCaller {
  ClaimKey key;
  ClaimantId claimant;
  ClaimVerdict verdict;
};

using ClaimAction = std::variant<ReadObject, WriteObject, SendClaimMessage,
                                 RunCall, AnswerCaller>;
using ClaimActions = std::vector<ClaimAction>;

}  // namespace dotterellug
