#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <variant>

#include "core/core.h"
#include "daemon/gateway/control_link.h"
#include "daemon/gateway/copy_exchange.h"
#include "daemon/gateway/duty_desk.h"
#include "daemon/gateway/fleet_node.h"
#include "daemon/gateway/gateway_context.h"
#include "daemon/gateway/order_desk.h"
#include "serving/fleet/restore_retention.h"
#include "serving/fleet/restored_upstreams.h"

namespace dotterellug::gateway {

// One daemon on a platform that registers upstreams and configuration in its
// store: everything runs on one event loop.
class Gateway {
 public:
  // Makes the link to the platform, given where its events go.
  using MakeLink =
      std::function<std::shared_ptr<ControlLink>(ControlEvents events)>;

  Gateway(boost::asio::io_context& loop, const GatewaySettings& settings,
          Dialect dialect, const MakeLink& make_link, Incarnation incarnation);
  Gateway(const Gateway&) = delete;
  auto operator=(const Gateway&) -> Gateway& = delete;
  ~Gateway();

  // Opens the listeners and follows the platform. After a failure it may be
  // called again. Callers are listened to last, when all else works.
  auto Start() -> Result<SocketAddress>;
  // Stops in order: callers stop coming first, then requests in progress end.
  // The loop ends when that is done.
  auto Drain() -> void;
  auto Ready() const -> bool;
  // What its requests share, for tests and operators' pages.
  auto Context() -> GatewayContext& { return context_; }
  // The settings may have changed.
  auto Reload() -> void;

 private:
  auto Events() -> ControlEvents;
  auto OnCatalog(std::shared_ptr<const serving::ServingCatalog> catalog)
      -> void;
  auto LogAccountChanges(const serving::ServingCatalog& catalog) -> void;
  // An entry of an upstream was read from the store. `maybe_restored` is
  // whether it may come from a backup.
  auto OnEntryRead(const serving::UpstreamRecord& record, bool maybe_restored)
      -> void;
  auto OnUpstream(const serving::UpstreamRecord& record) -> void;
  auto OnUpstreamGone(const UpstreamId& id) -> void;
  auto OnUpstreamsListed(const std::set<UpstreamId>& listed) -> void;
  auto OnNews(const fleet::UpstreamChanges& news) -> void;
  auto OnZonesOut(std::set<AvailabilityZoneId> zones) -> void;
  auto ApplyZonesOut() -> void;
  auto OnMembers(const std::vector<Member>& members) -> void;
  auto ApplyMembers() -> void;
  // The next list is the first after a restore of the store.
  auto OnListRestored(StoreList list) -> void;
  // Ends what is kept or held back for a while after a restore.
  auto EndRetention(Timestamp now) -> void;
  auto OnStoreContact(const Result<void>& result) -> void;
  // A list of the store cannot be read whole, or could be read again.
  auto OnList(StoreList list, const Result<void>& result) -> void;
  auto OnStoreEpoch(const StoreEpochChange& change) -> void;
  // `position` is the store's, at which the removal was read.
  auto RemoveUpstream(const UpstreamId& id, const char* cause,
                      StorePosition position) -> void;
  auto Tick() -> void;
  auto SetLevels() -> void;
  auto NoteClocks(Timestamp now) -> void;
  auto RegisterSelf() -> void;
  // What this daemon has yet to learn or to write before it is ready; empty if
  // nothing.
  auto Missing() const -> std::string;
  // Logs each change of that.
  auto LogReadiness() -> void;
  // Opens the ports that callers do not need: metrics, and copies for other
  // daemons. One that is in use is tried again.
  auto OpenInternalServers(Timestamp now) -> void;
  // How long after the stop signal the process may run.
  auto LongestDrain() const -> Duration;
  auto FinishDrain() -> void;
  // Whether the order lease is released, or there is no time left for that.
  auto OrdersStopped(Timestamp now) -> bool;

  GatewayContext context_;
  FleetNode fleet_;
  std::shared_ptr<ControlLink> link_;
  CopyExchange copies_;
  OrderDesk orders_;
  DutyDesk duties_;
  eventhttp::HttpServer callers_;
  eventhttp::HttpServer readiness_;
  eventhttp::HttpServer metrics_;
  boost::asio::steady_timer tick_;

  bool upstreams_known_ = false;
  bool members_known_ = false;
  bool zones_known_ = false;
  bool registered_ = false;
  bool draining_ = false;
  // Lists of the store that cannot be read whole, and since when.
  std::map<StoreList, Timestamp> stalled_lists_;
  // As the log has it.
  std::optional<std::string> logged_missing_;
  // Whether this daemon reads the list of upstreams from the store itself.
  bool following_ = true;
  Timestamp drain_started_{};
  bool final_answers_given_ = false;
  // When the order lease was released because all requests had ended.
  std::optional<Timestamp> orders_stopped_at_;
  // When to write the registration unless the list of members shows it.
  Timestamp registration_due_{};
  Timestamp swept_at_{};
  bool internal_servers_open_ = false;
  Timestamp internal_servers_due_{};
  Timestamp ordered_at_{};
  // The last tick, on the monotonic clock and as time of day.
  Timestamp ticked_at_{};
  WallTime ticked_wall_{};
  // What the store's silence means for upstreams whose entries are missing.
  serving::ExpiredUpstreamRetention lapsed_;
  // What may be missing from a backup of the store, or be in it although it was
  // removed.
  serving::RestoredUpstreams restored_upstreams_;
  serving::RestoreRetention<AvailabilityZoneId, std::monostate> zones_out_;
  serving::RestoreRetention<InstanceId, Member> members_;
};

}  // namespace dotterellug::gateway
