#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <thread>

#include "daemon/control/control_event.h"
#include "daemon/control/fleet_view.h"
#include "daemon/control/mailbox.h"
#include "daemon/state/shared_state.h"
#include "settings/settings.h"

namespace dotterellug {

// The control thread. It owns all control state, takes events from a mailbox,
// and publishes snapshots for the traffic threads.
class ControlLoop {
 public:
  ControlLoop(SharedState& state, DigestKey digest_key,
              const DaemonSettings& settings);
  ControlLoop(const ControlLoop&) = delete;
  auto operator=(const ControlLoop&) -> ControlLoop& = delete;
  ~ControlLoop();

  // Callable from any thread.
  auto Send(ControlEvent event) -> void { mailbox_.Send(std::move(event)); }
  auto IsReady() const -> bool { return ready_; }
  // Age of the last proof that the revision is current.
  auto CurrencyAge() const -> Duration;

  // Called on the control thread with each new document and with the upstreams
  // that leave; set once before events arrive.
  using OnDocument = std::function<auto(const SharedSnapshot&)->void>;
  using OnLeaving = std::function<auto(const std::set<UpstreamId>&)->void>;
  // Availability zones of peers heard from since a time.
  using ZonesHeard =
      std::function<auto(Timestamp)->std::set<AvailabilityZoneId>>;
  auto SetListeners(OnDocument on_document, OnLeaving on_leaving,
                    ZonesHeard zones_heard) -> void {
    on_document_ = std::move(on_document);
    on_leaving_ = std::move(on_leaving);
    zones_heard_ = std::move(zones_heard);
  }

 private:
  auto Run() -> void;
  auto Handle(ControlEvent& event) -> void;
  auto Adopt(RevisionFetched& fetched) -> void;
  auto ApplyInstanceList(const InstanceListRead& list) -> void;
  auto Tick() -> void;
  auto PublishRouting() -> void;
  // Notes that the revision in force was current at `proved_at`.
  auto NoteProof(Timestamp proved_at) -> void;
  // Whether this daemon can tell that its revision is current, or that the
  // object API is down for everyone (design, section 3.3).
  auto CheckIsolation(Timestamp now) -> void;

  SharedState& state_;
  DigestKey digest_key_;
  RevisionFollower follower_;
  FleetView fleet_;
  OnDocument on_document_;
  OnLeaving on_leaving_;
  ZonesHeard zones_heard_;
  AvailabilityZoneId own_zone_;
  Mailbox<ControlEvent> mailbox_;
  Timestamp proved_at_;
  // Time of the last store answer, which proves a revision current that is
  // adopted after it.
  Timestamp answered_at_;
  std::optional<bool> store_up_;
  InstanceId self_;
  std::atomic<std::int64_t> proved_at_us_{0};
  std::atomic<bool> ready_{false};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace dotterellug
