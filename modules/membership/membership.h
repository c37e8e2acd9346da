#pragma once

// Failure detection between daemons and dissemination of what is found. Pure
// decisions: time, seed and received messages are arguments, messages to send
// and events are results. Suspicion only steers traffic; only "gone" says that
// a process is dead.
// Needs: core, nlohmann-json (CBOR).

#include "membership/detector/failure_detector.h"
#include "membership/gossip/change_queue.h"
#include "membership/model/member.h"
#include "membership/table/member_table.h"
#include "membership/wire/message.h"
