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
#include <vector>

#include "budget/budget.h"
#include "core/core.h"
#include "daemon/control/control_event.h"
#include "idempotency/idempotency.h"
#include "membership/membership.h"
#include "peer/peer.h"
#include "placement/placement.h"
#include "settings/settings.h"
#include "telemetry/telemetry.h"

namespace dotterellug {

// What this daemon learns from other daemons. Called on threads of the hub.
struct PeerEvents {
  std::function<auto(const BudgetMessage&)->void> on_budget;
  std::function<auto(const ClaimMessage&)->void> on_claim;
  std::function<auto(const ModelDemandReport&)->void> on_demand;
  // The process is dead; what it held can be reclaimed.
  std::function<auto(const MemberId&)->void> on_gone;
  std::function<auto(std::set<MemberId>)->void> on_live;
  // A peer's revision, with the time at which it was proved to be current.
  std::function<auto(RevisionNumber, Timestamp proved_at)->void> on_proof;
};

// One member as this daemon sees it, for the status page.
struct PeerStatus {
  InstanceId instance;
  Incarnation incarnation;
  MemberState state = MemberState::kLive;
};

// The daemon's connections to other daemons: failure detection over datagrams,
// requests over TCP, and the threads that carry them. Thread-safe.
class PeerHub {
 public:
  static auto Start(const DaemonSettings& settings, const MemberId& self,
                    const FleetKey& key, PeerEvents events, Metrics& metrics)
      -> Result<std::unique_ptr<PeerHub>>;
  PeerHub(const PeerHub&) = delete;
  auto operator=(const PeerHub&) -> PeerHub& = delete;
  ~PeerHub();

  // Queues a message; it may be lost. Senders repeat what matters.
  auto SendBudget(const MemberId& to, const BudgetMessage& message) -> void;
  auto SendClaim(const MemberId& to, const ClaimMessage& message) -> void;
  auto SendDemand(const MemberId& to, const ModelDemandReport& report) -> void;
  auto SetInstanceList(const InstanceListRead& list) -> void;
  // What messages to others say about this daemon's configuration.
  auto SetConfigRevision(RevisionNumber revision, Duration currency_age)
      -> void;
  // Announces that this process leaves.
  auto Leave() -> void;
  // Availability zones of peers heard from since then.
  auto ZonesHeardSince(Timestamp since) -> std::set<AvailabilityZoneId>;
  auto Status() -> std::vector<PeerStatus>;

 private:
  struct Outgoing {
    MemberId to;
    std::string method;
    nlohmann::json parameters;
  };
  static constexpr std::size_t kSenders = 4;

  PeerHub(const DaemonSettings& settings, const MemberId& self,
          const FleetKey& key, PeerEvents events, Metrics& metrics);
  auto Listen(const DaemonSettings& settings, const FleetKey& key)
      -> Result<void>;
  auto Methods() -> PeerMethodTable;
  auto Tick() -> void;
  auto OnDatagram(const nlohmann::json& body) -> void;
  auto SendAll(const std::vector<OutgoingMessage>& messages) -> void;
  auto Enqueue(Outgoing outgoing) -> void;
  auto SendRequests() -> void;
  auto PublishLive(Timestamp now) -> void;

  MemberId self_;
  PeerEvents events_;
  Metrics& metrics_;
  PeerRequestClient client_;

  std::mutex mutex_;
  FailureDetector detector_;
  std::set<MemberId> published_live_;

  std::mutex queue_mutex_;
  // Separate, because a notification for a sender must not wake the ticker
  // instead.
  std::condition_variable queued_;
  std::condition_variable stopped_;
  std::deque<Outgoing> queue_;
  bool stopping_ = false;

  std::unique_ptr<DatagramEndpoint> datagrams_;
  std::unique_ptr<PeerRequestServer> server_;
  std::vector<std::thread> threads_;
};

}  // namespace dotterellug
