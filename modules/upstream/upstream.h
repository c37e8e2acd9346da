#pragma once

// HTTP exchanges with engines and plain services over libcurl. Needs: core,
// libcurl.

#include "upstream/exchange/event_stream_parser.h"
#include "upstream/exchange/exchange_pool.h"
#include "upstream/exchange/upstream_call.h"
#include "upstream/exchange/upstream_exchange.h"
