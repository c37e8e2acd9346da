#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/core.h"

namespace dotterellug::serving {

// A model that an engine holds, with its adapters.
struct HeldModel {
  ModelId id;
  std::int64_t version = 0;
  std::set<AdapterId> adapters;
};

// What an upstream says about itself in the platform's list.
struct UpstreamRecord {
  UpstreamId id;
  PoolId pool;
  SocketAddress address;
  AvailabilityZoneId zone;
  std::int64_t slots = 1;
  // Serves what it has and then ends; gets no new work.
  bool leaving = false;
  // How much longer it is cold, as of the moment the record was read.
  Duration cold_left{0};
  // Wall time of its start in milliseconds; tells two processes with the same
  // id apart. 0 if not stated.
  std::int64_t started_ms = 0;
  // Number of orders it has accepted, as of the record.
  std::int64_t command_sequence = 0;
  std::vector<HeldModel> models;
  // Models whose weights it can load without the weight store.
  std::set<ModelId> in_memory;
  std::set<ModelId> on_disk;
};

// Load of an upstream from all daemons but this one, as the fleet reports it.
struct RemoteLoad {
  double requests = 0;
  double tokens = 0;
  // Prompt tokens that the upstream has not read.
  double prefill_tokens = 0;
};

// An upstream as this daemon knows it: its record, what this daemon has in
// flight there, and how it has answered lately.
class LiveUpstream {
 public:
  explicit LiveUpstream(UpstreamRecord initial) : record(std::move(initial)) {}

  UpstreamRecord record;
  Timestamp cold_until{};
  // Requests and tokens that this daemon has in flight.
  std::int64_t requests = 0;
  std::int64_t tokens = 0;
  // Prompt tokens of requests that have not brought their first event.
  std::int64_t prefill_tokens = 0;
  RemoteLoad foreign;

  auto HasModel(const ModelId& model, const AdapterId& adapter) const -> bool;
  auto Requests() const -> double {
    return static_cast<double>(requests) + foreign.requests;
  }
  auto Tokens() const -> double {
    return static_cast<double>(tokens) + foreign.tokens;
  }
  auto PrefillTokens() const -> double {
    return static_cast<double>(prefill_tokens) + foreign.prefill_tokens;
  }
  auto IsCold(Timestamp now) const -> bool { return now < cold_until; }

  // An attempt ended: in time, or with a failure of the upstream's own.
  auto NoteSuccess(Timestamp now) -> void;
  auto NoteFailure(Timestamp now) -> void;
  // No connection could be made, or one broke without an answer.
  auto NoteUnreachable(Timestamp now) -> void;
  // Several other daemons could not reach it. That this one did lately counts
  // for more, since they may be cut off from it.
  auto NoteUnreachableElsewhere(Timestamp now) -> void;
  // Whether this daemon's last word on it, not long ago, is that it cannot be
  // reached.
  auto UnreachableLately(Timestamp now) const -> bool;
  // It does not hold the model or adapter, whatever its entry says.
  auto NoteMissing(const ModelId& model, const AdapterId& adapter) -> void;
  // Another upstream has its address; it gets no work until its next entry.
  auto NoteReplaced() -> void { record.leaving = true; }

  // Part of the recent attempts that failed, 0 to 1.
  auto FailureRate() const -> double { return failure_rate_; }
  // Whether it is left out for now because it could not be reached.
  auto Suspected(Timestamp now) const -> bool { return now < suspected_until_; }

 private:
  double failure_rate_ = 0;
  int consecutive_unreachable_ = 0;
  Timestamp succeeded_at_{};
  Timestamp unreachable_at_{};
  Timestamp suspected_until_{};
};

}  // namespace dotterellug::serving
