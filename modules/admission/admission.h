#pragma once

// Which waiting request starts next, which is refused and when a failed attempt
// may be repeated: bounded queues by priority class, fairness between client
// accounts, deadlines, shedding, retry budget and backoff. Needs: core.
//
// Nothing here has a thread, lock or clock. The classes are not safe for use by
// several threads at once: one daemon has one AdmissionQueue and one
// RetryBudget, and callers serialise their calls with a lock of their own. Each
// call takes microseconds and does no I/O.

#include "admission/queue/admission_queue.h"
#include "admission/queue/class_queue.h"
#include "admission/queue/drain_rate.h"
#include "admission/queue/queued_request.h"
#include "admission/queue/refusal.h"
#include "admission/retry/backoff.h"
#include "admission/retry/retry_budget.h"
#include "admission/retry/retry_decision.h"
