#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include "core/ids/ids.h"
#include "core/time/time.h"
#include "ownership/member/member_id.h"

namespace dotterellug {

// Digest of client account and Idempotency-Key, computed by the caller with a
// cryptographic hash, since two calls with equal digests count as one.
using ClaimKey = StrongString<struct ClaimKeyTag>;
// Digest of the request, to recognise another request under the same key.
using RequestDigest = StrongString<struct RequestDigestTag>;

// One attempt to claim, unique over the fleet and over restarts.
struct ClaimantId {
  MemberId member;
  std::int64_t sequence = 0;

  friend auto operator==(const ClaimantId& a, const ClaimantId& b) -> bool {
    return a.sequence == b.sequence && a.member == b.member;
  }
  friend auto operator<(const ClaimantId& a, const ClaimantId& b) -> bool {
    return std::tie(a.member, a.sequence) < std::tie(b.member, b.sequence);
  }
};

// The first response to a claimed call.
struct StoredResponse {
  int status = 0;
  std::string body;
  // Unset when the body was too large to store.
  bool body_stored = true;
};

enum class ClaimState {
  kRunning,  // granted, or about to be; the claimant may run it
  kDone,     // the response is known
  kUnknown,  // may have run; nobody may run it again
};

struct ClaimRecord {
  ClaimKey key;
  RequestDigest request;
  ClaimantId claimant;
  ClaimState state = ClaimState::kRunning;
  StoredResponse response;
  // For retention only.
  WallTime claimed_at;
};

}  // namespace dotterellug
