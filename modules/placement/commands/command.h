#pragma once

#include <cstdint>
#include <tuple>
#include <variant>
#include <vector>

#include "core/ids/ids.h"
#include "core/time/time.h"
#include "placement/reservation/engine_record.h"
#include "placement/reservation/item_key.h"

namespace dotterellug {

// A fencing token that orders the commands of all placement owners to one
// engine. The sequence restarts with each term; each owner process has a term
// of its own, so the sequence need not be stored.
struct FencingToken {
  Term term;
  std::int64_t sequence = 0;

  friend auto operator==(const FencingToken& a, const FencingToken& b) -> bool {
    return a.term == b.term && a.sequence == b.sequence;
  }
  friend auto operator<(const FencingToken& a, const FencingToken& b) -> bool {
    return std::tie(a.term, a.sequence) < std::tie(b.term, b.sequence);
  }
};

enum class CommandKind { kLoad, kUnload };

// A command to an engine. Commands are idempotent: loading a resident item and
// unloading an absent one are answered with kDone, so resending is harmless.
struct EngineCommand {
  UpstreamId engine;
  FencingToken fencing;
  CommandKind kind = CommandKind::kLoad;
  ItemKey item;
  Bytes bytes;
};

enum class CommandOutcome {
  kDone,    // the item is resident (load) or absent (unload)
  kStale,   // rejected: the engine has seen a higher fencing token
  kFailed,  // not done, for example because the weights are missing
};

// An engine's response to the command with this fencing token.
struct CommandResponse {
  UpstreamId engine;
  FencingToken fencing;
  CommandOutcome outcome = CommandOutcome::kDone;
};

// An item that an engine holds in memory.
struct ResidentItem {
  ItemKey key;
  Bytes bytes;

  friend auto operator==(const ResidentItem& a, const ResidentItem& b) -> bool {
    return a.key == b.key && a.bytes == b.bytes;
  }
};

// The items that an engine reported as resident. `sampled_at` is on the owner's
// clock and is a lower bound of the time at which the engine took the report:
// the request time if the owner requested it, otherwise the arrival time minus
// the reported age and the longest transit time.
struct EngineReport {
  UpstreamId engine;
  Incarnation incarnation;
  Timestamp sampled_at;
  std::vector<ResidentItem> resident;
};

// Event: the engine's record was read from the store.
struct RecordReadCompleted {
  UpstreamId engine;
  // Version 0 (kAbsent) if the object does not exist.
  ObjectVersion version;
  EngineRecord record;
};

// Event: the engine's record was written; `version` is the new version.
struct RecordWriteCompleted {
  UpstreamId engine;
  ObjectVersion version;
};

// Event: a store call did not succeed for certain. A read failed, a write was
// rejected, the outcome is unknown, or the store did not respond; the record
// must be read again.
struct StoreCallFailed {
  UpstreamId engine;
};

// An event that the reconciler handles.
using PlacementEvent =
    std::variant<CommandResponse, EngineReport, RecordReadCompleted,
                 RecordWriteCompleted, StoreCallFailed>;

// Action: read the engine's record from the store.
struct ReadRecord {
  UpstreamId engine;
};

// Action: write `record` on condition that the object's version is `expected`.
struct WriteRecord {
  UpstreamId engine;
  ObjectVersion expected;
  EngineRecord record;
};

// Action: send `command` if the reconciler's AuthorizeSend allows it at the
// moment of the send.
struct SendCommand {
  EngineCommand command;
};

// An action that the reconciler returns from Step, for the caller to carry out.
using PlacementAction = std::variant<ReadRecord, WriteRecord, SendCommand>;

}  // namespace dotterellug
