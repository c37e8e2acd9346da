#pragma once

// Claims for calls that run at most once. The daemon that received a call asks
// the owner of the claim's shard; it runs the call only after the claim is in
// the shard's log in the store, or, during a store outage, on a second member.
// `ClaimShard` is one daemon's part in one shard; the other classes are its
// parts. Needs: core, ownership, nlohmann-json. No threads, sockets or clocks.

#include "idempotency/claimant/claimant.h"
#include "idempotency/member/claim_member.h"
#include "idempotency/messages/claim_messages.h"
#include "idempotency/owner/claim_owner.h"
#include "idempotency/record/claim_log.h"
#include "idempotency/record/claim_record.h"
#include "idempotency/shard/claim_shard.h"
