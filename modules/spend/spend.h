#pragma once

// What client accounts use and what it costs: usage sums that daemons report
// and a shard owner writes to the store once a minute, monthly reports, and a
// forecast of the next month with its range. Also the reports of usage by short
// windows that some platforms ask for. Needs: core. No threads, sockets or
// clocks.

#include "spend/forecast/forecast.h"
#include "spend/report/monthly_report.h"
#include "spend/usage/day_usage.h"
#include "spend/usage/usage_counter.h"
#include "spend/usage/usage_ledger.h"
#include "spend/usage/usage_record.h"
#include "spend/usage/usage_reporter.h"
#include "spend/usage/window_usage.h"
