#pragma once

#include <cstdint>

#include "core/ids/ids.h"
#include "core/priority/priority_class.h"
#include "core/time/time.h"

namespace dotterellug {

// Identifies a queued request until it starts, is refused or is cancelled.
// Tickets increase in order of arrival.
using QueueTicket = StrongInteger<struct QueueTicketTag>;

// The properties of a request that admission control uses.
struct QueuedRequest {
  RequestId id;
  ClientAccountId account;
  // Relative share of the capacity while several accounts have waiting
  // requests; at least 1.
  std::int64_t account_weight = 1;
  PriorityClass priority = PriorityClass::kStandard;
  // Estimated number of prompt and generated tokens.
  Tokens cost;
  Timestamp arrival;
  Timestamp deadline;
  // Estimated time from the start of the request to its completion.
  Duration service_time{0};

  // The latest start time at which the request can still meet its deadline.
  auto LatestStart() const -> Timestamp { return deadline - service_time; }
};

}  // namespace dotterellug
