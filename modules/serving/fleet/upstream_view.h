#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/core.h"
#include "serving/fleet/response_suspicion.h"
#include "serving/load/stated_load.h"
#include "serving/load/work_factor.h"

namespace dotterellug::serving {

// A model that an engine has loaded, with its adapters.
struct LoadedModel {
  ModelId id;
  std::int64_t version = 0;
  std::set<AdapterId> adapters;
};

// Entry of an upstream in the platform's instance list, as the upstream
// describes itself.
struct UpstreamRecord {
  UpstreamId id;
  PoolId pool;
  SocketAddress address;
  AvailabilityZoneId zone;
  std::int64_t slots = 1;
  // Whether it is draining: it finishes its requests, accepts no new ones and
  // then exits.
  bool leaving = false;
  // Remaining time of its cold phase, as of the time at which the record was
  // read.
  Duration remaining_cold_duration{0};
  // Wall clock time of its start in milliseconds, which distinguishes two
  // processes with the same id. 0 if not stated.
  std::int64_t started_ms = 0;
  // Number of commands that it had accepted as of the record.
  std::int64_t command_sequence = 0;
  std::vector<LoadedModel> models;
  // Models that it can load from host memory or disk instead of the weight
  // store.
  std::set<ModelId> in_memory;
  std::set<ModelId> on_disk;
  // Time until it is gone whatever it is running, as of the time at which the
  // record was read; nothing if it may finish its requests.
  std::optional<Duration> remaining_time{};
};

// Load of an upstream from all other daemons, as last reported to this daemon.
struct OtherDaemonsLoad {
  double requests = 0;
  double tokens = 0;
  // Prompt tokens that are waiting for prefill.
  double prefill_tokens = 0;
};

// Local view of an upstream in this daemon: its record, this daemon's requests
// in flight there, and the outcome of recent attempts.
class UpstreamView {
 public:
  explicit UpstreamView(UpstreamRecord initial) : record(std::move(initial)) {}

  UpstreamRecord record;
  Timestamp cold_until{};
  // When it is gone whatever it is running, if that is known.
  std::optional<Timestamp> gone_at{};
  // Requests and tokens that this daemon has in flight there.
  std::int64_t requests = 0;
  std::int64_t tokens = 0;
  // Prompt tokens of requests that have not returned their first event.
  std::int64_t prefill_tokens = 0;
  OtherDaemonsLoad other_daemons_load;
  // How long work takes on its machine, as its responses state it.
  WorkFactor work_factor;

  // Whether it has loaded the model and, if one is given, the adapter. True if
  // no model is given.
  auto HasModel(const ModelId& model, const AdapterId& adapter) const -> bool;
  // Requests and tokens in flight there, from all daemons.
  auto TotalRequests() const -> double {
    return static_cast<double>(requests) + other_daemons_load.requests;
  }
  auto TotalTokens() const -> double {
    return static_cast<double>(tokens) + other_daemons_load.tokens;
  }
  auto TotalPrefillTokens() const -> double {
    return static_cast<double>(prefill_tokens) +
           other_daemons_load.prefill_tokens;
  }
  // Records the load that a response stated. The work factor is recorded
  // separately, since it is shared with other daemons.
  auto RecordStatedLoad(const StatedLoad& load, Timestamp now) -> void;
  // Requests there, from all daemons: those that its last response stated,
  // corrected by what this daemon has sent and completed since. The statement
  // counts less as it ages, since other daemons go on sending; TotalRequests
  // replaces it.
  auto ExpectedRequests(Timestamp now) const -> double;
  auto IsCold(Timestamp now) const -> bool { return now < cold_until; }

  // Record the outcome of an attempt: it ended in time, or it failed because of
  // the upstream.
  auto RecordSuccess(Timestamp now) -> void;
  auto RecordFailure(Timestamp now) -> void;
  // Records that no connection could be made, or that one broke before the
  // response. Includes RecordFailure.
  auto RecordUnreachable(Timestamp now) -> void;
  // Records that several other daemons could not reach it. A recent success of
  // this daemon takes precedence, since the others may be cut off from the
  // upstream.
  auto RecordReportedUnreachable(Timestamp now) -> void;
  // Whether it was unreachable for this daemon recently, without a success
  // since.
  auto RecentlyUnreachable(Timestamp now) const -> bool;
  // Records a response that said that the request was misdirected, to an
  // attempt that was sent at `sent_at`. `names_another` tells whether it named
  // another instance that has the address. Returns when the avoidance of the
  // upstream ends, or nullopt if the response adds nothing to an earlier one.
  auto RecordMisdirected(bool names_another, Timestamp sent_at, Timestamp now)
      -> std::optional<Timestamp>;
  // Records a response that said that the engine lacks a model or adapter which
  // its record lists. Returns as RecordMisdirected does.
  auto RecordModelMissing(const ModelId& model, const AdapterId& adapter,
                          Timestamp sent_at, Timestamp now)
      -> std::optional<Timestamp>;
  // Records that a request for the model is sent, which may be a trial.
  auto RecordSent(const ModelId& model, const AdapterId& adapter, Timestamp now)
      -> void;
  // Records that a request for the model ran.
  auto RecordServed(const ModelId& model, const AdapterId& adapter) -> void;
  // Forgets which models were missing, because the engine has accepted commands
  // since then.
  auto ClearMissingModels() -> void { missing_models_.clear(); }

  // Whether it is avoided for now because of responses that said that requests
  // were misdirected.
  auto Misdirected(Timestamp now) const -> bool {
    return misdirected_.Active(now);
  }
  // When the last such response arrived.
  auto MisdirectedAt() const -> Timestamp { return misdirected_.RecordedAt(); }
  // Whether two responses without a success between them named another instance
  // that has the address, so that it is not even the last choice for now.
  auto AddressTaken(Timestamp now) const -> bool;
  // Whether the model or adapter is assumed to be missing for now.
  auto ModelMissing(const ModelId& model, const AdapterId& adapter,
                    Timestamp now) const -> bool;

  // Moving average of the fraction of attempts that failed, 0 to 1.
  auto FailureRate() const -> double { return failure_rate_; }
  // Whether it is avoided for now because it could not be reached.
  auto Suspected(Timestamp now) const -> bool { return now < suspected_until_; }

 private:
  double failure_rate_ = 0;
  int consecutive_unreachable_ = 0;
  Timestamp succeeded_at_{};
  Timestamp unreachable_at_{};
  Timestamp suspected_until_{};
  // The last stated number of running and waiting requests, when it was stated,
  // and how many requests of this daemon were in flight there at that time.
  double stated_requests_ = 0;
  Timestamp stated_at_{};
  std::int64_t requests_at_statement_ = 0;
  ResponseSuspicion misdirected_;
  // Consecutive responses that named another instance.
  int named_another_ = 0;
  // Models, or adapters of models, that the engine said it lacks. Few at a
  // time: an entry ends with a success or with the next command.
  std::map<std::pair<ModelId, AdapterId>, ResponseSuspicion> missing_models_;
};

}  // namespace dotterellug::serving
