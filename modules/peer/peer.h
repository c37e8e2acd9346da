#pragma once

// Messages between daemons, authenticated with the fleet key: requests by
// JSON-RPC (libjsonrpccpp) over HTTP, datagrams with CBOR bodies over UDP, and
// the codecs of the typed messages. Needs: core,
// membership, ownership, budget, idempotency, libjsonrpccpp,
// libcurl, libmicrohttpd, libsodium, nlohmann-json.

#include "peer/auth/fleet_key.h"
#include "peer/auth/freshness_guard.h"
#include "peer/auth/refusal_counters.h"
#include "peer/codec/budget_codec.h"
#include "peer/codec/claim_codec.h"
#include "peer/codec/membership_codec.h"
#include "peer/codec/ownership_codec.h"
#include "peer/codec/revision_codec.h"
#include "peer/datagram/datagram_endpoint.h"
#include "peer/request/peer_request_client.h"
#include "peer/request/peer_request_server.h"
