#pragma once

// Failure detection between daemons and dissemination of membership changes, in
// the manner of the SWIM protocol. The module is deterministic: time, random
// seed and received messages are arguments; messages to send and events are
// results.
//
// A suspicion only keeps traffic away from a member. Only an event that
// declares the process dead allows its resources to be reclaimed.
//
// Depends on core and nlohmann-json (CBOR).

#include "membership/detector/failure_detector.h"
#include "membership/gossip/change_queue.h"
#include "membership/model/member.h"
#include "membership/table/member_table.h"
#include "membership/wire/message.h"
