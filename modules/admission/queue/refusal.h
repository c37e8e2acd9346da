#pragma once

#include <optional>
#include <string_view>

#include "admission/queue/queued_request.h"

namespace dotterellug {

enum class RefusalReason {
  // The class or the whole queue is full, and the request's account has the
  // most requests waiting.
  kQueueFull,
  // Removed in favour of a higher class or of an account with fewer requests.
  kShed,
  // The expected wait ends after the latest start.
  kDeadlineUnreachable,
  // The deadline is too short even without a wait.
  kDeadlineTooShort,
  // The latest start passed while the request waited.
  kDeadlinePassed,
};

// The reason's name in answers and metric labels, such as "queue_full".
auto RefusalReasonName(RefusalReason reason) -> std::string_view;

// A request that will not start. Admission refuses before anything is sent to
// an upstream, so the request never ran.
struct Refusal {
  RequestId id;
  ClientAccountId account;
  PriorityClass priority = PriorityClass::kStandard;
  RefusalReason reason = RefusalReason::kQueueFull;
  bool ran = false;
  // After this time the same request is expected to be accepted if nothing else
  // arrives and the queue keeps its pace. Nothing if waiting does not help.
  std::optional<Duration> retry_after;
};

}  // namespace dotterellug
