#pragma once

#include "core/core.h"

namespace dotterellug::serving {

// Avoidance of an upstream, or of one of its models, for a bounded time because
// a response said that the request was misdirected. A single response may be
// wrong or a delayed duplicate, so each suspicion ends by itself; until a
// success clears it, one request at a time then tries the upstream again.
class ResponseSuspicion {
 public:
  // Records such a response to an attempt that was sent at `sent_at`. Responses
  // to attempts sent before the last recorded one are not a repetition: a burst
  // of requests in flight counts once. Returns whether it was recorded.
  auto Record(Timestamp sent_at, Timestamp now) -> bool;
  // Records that a request is sent. If the suspicion has ended without having
  // been cleared, the request is a trial, and no other one is made until its
  // response had time to arrive.
  auto RecordSent(Timestamp now) -> void;
  // Forgets all earlier responses after a success.
  auto Clear() -> void { *this = {}; }

  auto Active(Timestamp now) const -> bool { return now < until_; }
  auto Until() const -> Timestamp { return until_; }
  // Time of the last recorded response.
  auto RecordedAt() const -> Timestamp { return recorded_at_; }
  // Recorded responses since the last success.
  auto Count() const -> int { return count_; }

 private:
  int count_ = 0;
  Timestamp recorded_at_{};
  Timestamp until_{};
};

}  // namespace dotterellug::serving
