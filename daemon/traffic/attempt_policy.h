#pragma once

#include <string>
#include <vector>

#include "core/core.h"
#include "daemon/state/shared_state.h"
#include "upstream/upstream.h"

namespace dotterellug {

// A request that ended without a response from an upstream.
struct RequestFailure {
  Error error;
  Ran ran = Ran::kNo;
  // When the same request is expected to succeed.
  Duration retry_after = std::chrono::seconds(1);
  // Label of the refusal metric; empty when the request may have run.
  std::string reason;
};

// What an attempt without a usable response says about execution.
auto RanAfter(Delivery delivery) -> Ran;

// Whether the upstream stated that it did not execute the request.
auto StatedNotRun(const UpstreamHead& head) -> bool;

// The failure of an attempt whose exchange gave no response; counts crossed
// responses and silent connections.
auto ExchangeFailure(SharedState& state, const Error& error, Delivery delivery)
    -> RequestFailure;

// The failure of a request that no attempt was made for, or none that can have
// run, before the process ends.
auto StoppingFailure() -> RequestFailure;

// The failure of an attempt that the upstream stated not to have executed.
auto NotTakenFailure(const UpstreamId& upstream) -> RequestFailure;

// Waits for the backoff of the next attempt and takes it from the retry
// budget. Returns false when the request must not be tried again.
auto WaitForRetry(SharedState& state, const RequestContext& context,
                  int retries, const CallerConnection& caller) -> bool;

// The failure of a request for which no upstream could be chosen.
auto NoUpstreamFailure(NoUpstreamReason reason, const std::string& target)
    -> RequestFailure;

}  // namespace dotterellug
