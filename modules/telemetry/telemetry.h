#pragma once

// Metrics by prometheus-cpp and logs by Boost.Log. The product's own
// interface writes a log line only for a change of state; EventLog also has
// bounded lines for requests. No line contains a key or a prompt. Needs: core,
// prometheus-cpp, Boost.Log.

#include "telemetry/events/end_log.h"
#include "telemetry/events/event_log.h"
#include "telemetry/logging/state_log.h"
#include "telemetry/metrics/label_limit.h"
#include "telemetry/metrics/metric_table.h"
#include "telemetry/metrics/metrics.h"
