#pragma once

#include <cstdint>

#include "core/ids/ids.h"
#include "core/priority/priority_class.h"
#include "core/time/time.h"

namespace dotterellug {

// Names a waiting request until it starts, is refused or is cancelled. Grows in
// order of arrival.
using QueueTicket = StrongInteger<struct QueueTicketTag>;

// A request as admission sees it.
struct QueuedRequest {
  RequestId id;
  ClientAccountId account;
  // Relative part of the capacity when accounts compete; at least 1.
  std::int64_t account_weight = 1;
  PriorityClass priority = PriorityClass::kStandard;
  // Estimated prompt and generated tokens.
  Tokens cost;
  Timestamp arrival;
  Timestamp deadline;
  // Time that the request needs between its start and its deadline.
  Duration service_time{0};

  // The last moment at which a start still meets the deadline.
  auto LatestStart() const -> Timestamp { return deadline - service_time; }
};

}  // namespace dotterellug
