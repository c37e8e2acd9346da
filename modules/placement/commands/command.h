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

// Orders the commands to one engine over all owners. Each owner process has a
// term of its own, so the sequence needs no storage.
struct FencingNumber {
  Term term;
  std::int64_t sequence = 0;

  friend auto operator==(const FencingNumber& a, const FencingNumber& b)
      -> bool {
    return a.term == b.term && a.sequence == b.sequence;
  }
  friend auto operator<(const FencingNumber& a, const FencingNumber& b)
      -> bool {
    return std::tie(a.term, a.sequence) < std::tie(b.term, b.sequence);
  }
};

enum class CommandKind { kLoad, kUnload };

// A command to an engine. Loading what is resident and unloading what is not
// are answered with kDone, so a repetition is harmless.
struct EngineCommand {
  UpstreamId engine;
  FencingNumber fencing;
  CommandKind kind = CommandKind::kLoad;
  ItemKey item;
  Bytes bytes;
};

enum class CommandOutcome {
  kDone,    // the item is resident (load) or absent (unload)
  kStale,   // the engine has seen a higher fencing number
  kFailed,  // not done, for example because the weights are missing
};

// An engine's answer; names the command by its fencing number.
struct CommandAnswer {
  UpstreamId engine;
  FencingNumber fencing;
  CommandOutcome outcome = CommandOutcome::kDone;
};

struct ResidentItem {
  ItemKey key;
  Bytes bytes;

  friend auto operator==(const ResidentItem& a, const ResidentItem& b) -> bool {
    return a.key == b.key && a.bytes == b.bytes;
  }
};

// What an engine reported. `sampled_at` is on the owner's clock and not later
// than the sample: the time of the request for the report, or the arrival minus
// the reported age and the longest transit.
struct EngineReport {
  UpstreamId engine;
  Incarnation incarnation;
  Timestamp sampled_at;
  std::vector<ResidentItem> resident;
};

struct RecordRead {
  UpstreamId engine;
  // kAbsent version 0 when the object does not exist.
  ObjectVersion version;
  EngineRecord record;
};

struct RecordWritten {
  UpstreamId engine;
  ObjectVersion version;
};

// The write was rejected, or the call's outcome is unknown, or the store did
// not respond: the record has to be read again.
struct RecordUncertain {
  UpstreamId engine;
};

using PlacementEvent = std::variant<CommandAnswer, EngineReport, RecordRead,
                                    RecordWritten, RecordUncertain>;

struct ReadRecord {
  UpstreamId engine;
};

// Write `record` on condition that the object has `expected` version.
struct WriteRecord {
  UpstreamId engine;
  ObjectVersion expected;
  EngineRecord record;
};

// Send after CommandLog::AuthorizeSend allowed it at the moment of the send.
struct SendCommand {
  EngineCommand command;
};

using PlacementAction = std::variant<ReadRecord, WriteRecord, SendCommand>;

}  // namespace dotterellug
