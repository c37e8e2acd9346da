#pragma once

#include <optional>
#include <string_view>

#include "admission/queue/queued_request.h"

namespace dotterellug {

// Why admission control refused a request.
enum class RefusalReason {
  // The class or the whole queue is full, and the request's account has the
  // largest backlog.
  kQueueFull,
  // Removed from a full queue in favour of a request of a higher class or of an
  // account with a smaller backlog.
  kShed,
  // The expected wait exceeds the time until the latest start.
  kDeadlineUnreachable,
  // The deadline cannot be met even without a wait.
  kDeadlineTooShort,
  // The latest start passed while the request was queued.
  kExpiredInQueue,
};

// The name of the reason in responses and metric labels, such as "queue_full".
auto RefusalReasonName(RefusalReason reason) -> std::string_view;

// A request that is refused. Admission control refuses requests before anything
// is sent to an upstream, so a refused request has never run.
struct Refusal {
  RequestId id;
  ClientAccountId account;
  PriorityClass priority = PriorityClass::kStandard;
  RefusalReason reason = RefusalReason::kQueueFull;
  // Whether an upstream ran the request; false for all refusals by admission
  // control.
  bool ran = false;
  // Time after which the same request is expected to be accepted, provided that
  // no further requests arrive and the drain rate stays the same. Empty if a
  // later retry cannot succeed either.
  std::optional<Duration> retry_after;
};

}  // namespace dotterellug
