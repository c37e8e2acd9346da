#pragma once

// Finds prompt parts that end the upstreams which answer them, and keeps
// requests with such parts away from all upstreams. Daemons exchange what they
// saw, crashes and working parts; each one decides by itself from all of it, so
// the decision needs no leader and survives any daemon.
//
// A part is quarantined after several upstreams ended while they began to
// answer requests with it, if no upstream answered it meanwhile and no other
// quarantined part explains these crashes.
//
// Depends on core. Uses no threads, sockets or clocks: callers pass the time.

#include "quarantine/evidence/part_evidence.h"
#include "quarantine/evidence/working_parts.h"
#include "quarantine/table/prompt_quarantine.h"
