#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "core/core.h"
#include "daemon/control/take_over_watch.h"
#include "idempotency/idempotency.h"
#include "store/store.h"
#include "telemetry/telemetry.h"

namespace dotterellug {

// Permission to run one call; report its end with ClaimService::Finish.
struct ClaimGrant {
  std::size_t shard = 0;
  ClaimantId claimant;
};
// No answer came before the deadline; the call did not run here.
struct ClaimTimedOut {};
using ClaimDecision = std::variant<ClaimGrant, ClaimVerdict, ClaimTimedOut>;

// This daemon's part in the claims for calls that run at most once. Traffic
// threads claim and finish; one thread carries out store calls and messages.
// Thread-safe.
class ClaimService {
 public:
  using Send = std::function<auto(const MemberId&, const ClaimMessage&)->void>;
  static constexpr std::size_t kShards = 16;

  ClaimService(const MemberId& self, std::unique_ptr<ObjectStore> store,
               Send send, Metrics& metrics);
  ClaimService(const ClaimService&) = delete;
  auto operator=(const ClaimService&) -> ClaimService& = delete;
  ~ClaimService();

  // Waits until the claim is decided or the deadline is reached.
  auto Claim(const ClientAccountId& account, std::string_view idempotency_key,
             std::string_view request, Timestamp deadline) -> ClaimDecision;
  auto Finish(const ClaimGrant& grant, ClaimState state,
              const StoredResponse& response) -> void;

  auto OnMessage(const ClaimMessage& message) -> void;
  auto SetLiveMembers(const std::set<MemberId>& live) -> void;
  auto OnMemberTerminated(const MemberId& member) -> void;
  // Shards that this daemon owns.
  auto OwnedShards() -> std::size_t;

 private:
  struct Part {
    Part(const ShardId& id, const MemberId& self, const ClaimPolicy& policy)
        : id(id), shard(id, self, policy), watch(id, self) {}
    ShardId id;
    ClaimShard shard;
    TakeOverWatch watch;
  };
  struct Queued {
    std::size_t part = 0;
    ClaimAction action;
  };

  auto Run() -> void;
  auto Enqueue(std::size_t part, ClaimActions actions) -> void;
  auto CarryOut(const Queued& queued) -> void;
  auto Read(std::size_t part, const std::string& name) -> void;
  auto Write(std::size_t part, const WriteObject& write) -> void;
  auto PartOf(const ShardId& shard) const -> std::optional<std::size_t>;
  static auto Now() -> ClaimTime { return {MonotonicNow(), WallNow()}; }

  std::unique_ptr<ObjectStore> store_;
  Send send_;
  Metrics& metrics_;
  MemberId self_;

  std::mutex mutex_;
  std::condition_variable decided_changed_;
  std::condition_variable queued_changed_;
  std::vector<Part> parts_;
  std::deque<Queued> queue_;
  // Decisions for claims whose threads wait for them.
  std::map<ClaimantId, std::optional<ClaimDecision>> waiting_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace dotterellug
