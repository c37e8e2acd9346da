#pragma once

// Admission control of a daemon: bounded request queues by priority class, fair
// sharing of capacity between client accounts, deadline checks, load shedding,
// the order of requests that wait for capacity of a pool on a platform, and
// retries limited by a budget and delayed by exponential backoff. Depends on:
// core.
//
// No class here has a thread, lock or clock of its own, and none is
// thread-safe. A daemon has one AdmissionQueue for each model, or one
// WaitingQueue for each pool of a platform; callers
// serialise the calls to a queue or RetryBudget with their own lock. Each call
// takes microseconds and does no I/O.

#include "admission/queue/admission_queue.h"
#include "admission/queue/blocked_requests.h"
#include "admission/queue/class_queue.h"
#include "admission/queue/drain_rate.h"
#include "admission/queue/queued_request.h"
#include "admission/queue/refusal.h"
#include "admission/queue/return_schedule.h"
#include "admission/queue/waiting_queue.h"
#include "admission/queue/waiting_request.h"
#include "admission/retry/backoff.h"
#include "admission/retry/retry_budget.h"
#include "admission/retry/retry_decision.h"
