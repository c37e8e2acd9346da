#pragma once

// Metrics by prometheus-cpp and logs by Boost.Log. Counters come first: a log
// line is written only for a change of state, never for a request, and never
// contains a key or a prompt. Needs: core, prometheus-cpp, Boost.Log.

#include "telemetry/events/event_log.h"
#include "telemetry/logging/state_log.h"
#include "telemetry/metrics/label_limit.h"
#include "telemetry/metrics/metric_table.h"
#include "telemetry/metrics/metrics.h"
