#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/core.h"
#include "core/ids/store_position.h"
#include "placement/lease/order_lease.h"
#include "serving/serving.h"
#include "spend/usage/usage_reporter.h"

namespace dotterellug::gateway {

// Lists in the store that daemons follow. The values are indices of
// StorePositions.
enum class StoreList : std::uint8_t {
  kConfiguration,
  kUpstreams,
  kZonesOut,
  kMembers,
};

// Such as "zones_out".
auto StoreListName(StoreList list) -> const char*;

// Positions in the store up to which changes have been read, by StoreList.
using StorePositions = std::vector<StorePosition>;

// The store was restored from a backup, or its epoch became known.
struct StoreEpochChange {
  // Nothing before the first response.
  std::optional<StoreEpoch> before;
  StoreEpoch after;
  // The call whose response stated the epoch, such as "watch config".
  std::string source;
};

// A daemon that registered itself in the platform's store.
struct Member {
  InstanceId id;
  // UDP address for messages between daemons.
  SocketAddress peers;
  // Processor share of its instance, in cores.
  double capacity = 0;
  // Revision of the registration, for removing it.
  std::int64_t revision = 0;
  AvailabilityZoneId zone;
};

// What the platform tells the gateway. Calls come on the event loop.
struct ControlEvents {
  std::function<void(std::shared_ptr<const serving::ServingCatalog>)>
      on_catalog;
  std::function<void(const serving::UpstreamRecord&)> on_upstream;
  // The same for an entry that may come from a backup of the store, because the
  // upstream has not written it since the store was restored.
  std::function<void(const serving::UpstreamRecord&)> on_restored_upstream;
  std::function<void(const UpstreamId&)> on_upstream_gone;
  // All upstreams that are registered now; others are gone.
  std::function<void(const std::set<UpstreamId>&)> on_upstreams_listed;
  std::function<void(std::set<AvailabilityZoneId>)> on_zones_out;
  std::function<void(std::vector<Member>)> on_members;
  // The store was restored from a backup: what follows is the first list since
  // then.
  std::function<void(StoreList)> on_list_restored;
  std::function<void(const Result<void>&)> on_store_contact;
  // A call to the store ended; `call` is its method and result.
  std::function<void(const std::string& call)> on_store_call;
  // Comes before what the store says in the new epoch.
  std::function<void(const StoreEpochChange&)> on_store_epoch;
  // The store answered about upstreams, or did not.
  std::function<void(bool answered)> on_upstream_contact;
  // The store answers, but a list cannot be read whole, with each attempt; or
  // it could be read again.
  std::function<void(StoreList, const Result<void>&)> on_list =
      [](StoreList, const Result<void>&) {};
  // Something from the platform could not be used; for the log.
  std::function<void(const Error&)> on_bad_entry;
};

// An order to an engine to load or unload a model or one of its adapters.
struct EngineOrder {
  UpstreamId upstream;
  SocketAddress address;
  bool load = true;
  ModelId model;
  // Empty for the model itself.
  AdapterId adapter;
  InstanceId holder;
  std::int64_t fence = 0;
  // The order is refused unless the engine has accepted so many orders before.
  std::int64_t expected_sequence = 0;
};

enum class OrderOutcome {
  kAccepted,
  kAlreadyHolds,
  kRefused,        // busy, or the sequence differs
  kFenced,         // another holder has a higher fencing number
  kInvalid,        // the engine does not know the order
  kWrongUpstream,  // another upstream has the address
  kUnknown,        // no answer; may be carried out later
};

// What an engine reports about itself.
struct EngineState {
  // Start of its process in Unix milliseconds; 0 if it did not say.
  std::int64_t started_ms = 0;
  bool busy = false;
  std::int64_t sequence = 0;
  std::vector<serving::LoadedModel> models;
};

// Under which right a call to the platform is made that one daemon at a time
// makes.
struct DutyRight {
  InstanceId holder;
  std::int64_t fence = 0;
};

// An order of the number of engines of a pool in a zone.
struct ScaleOrder {
  PoolId pool;
  AvailabilityZoneId zone;
  std::int64_t desired = 0;
};

enum class DutyOutcome {
  kTaken,
  kFenced,   // a higher fencing number was seen
  kTooMany,  // the platform accepts no more calls now
  kRefused,  // another answer; the call is not repeated sooner for it
  kNotSent,  // no connection
  kUnknown,  // no answer; may be carried out later
};

// What the gateway asks of the platform. Replies come on the event loop.
struct ControlLink {
  std::function<void()> start;
  // How far this daemon has read.
  std::function<StorePositions()> positions;
  // How far this daemon, or another one of which it knows, has read.
  std::function<StorePositions()> announced_positions;
  // Another daemon has read so far. What is behind for a while is read again,
  // since a watch can be deaf without an error.
  std::function<void(const StorePositions&)> catch_up;
  // When this daemon learned that it is behind another one; nothing if it is
  // not.
  std::function<std::optional<Timestamp>(StoreList)> behind_since;
  // What this daemon has read of the configuration or of the zones taken out,
  // for adopt_copy of another daemon.
  std::function<std::string(StoreList)> copy_of;
  // Takes another daemon's copy if it is newer; returns whether it is.
  std::function<Result<bool>(StoreList, const std::string& copy)> adopt_copy;
  // Whether another daemon's positions come regularly, so that the own watches
  // may wait longer.
  std::function<void(bool)> set_backed;
  // Whether to read configuration, zones and members from the store only after
  // catch_up has told of a change.
  std::function<void(bool)> set_on_demand;
  // Whether to read the list of upstreams from the store; when that begins
  // again, the list is read whole.
  std::function<void(bool)> follow_upstreams;
  // How long a read of the list of upstreams waits for a change.
  std::function<void(std::chrono::milliseconds)> set_upstream_wait;
  // The reply tells whether the registration was written; the list of members
  // shows it a little later.
  std::function<void(const Member&, std::function<void(const Result<void>&)>)>
      register_member;
  std::function<void(const Member&)> remove_member;
  // Revision 0 or nullopt means that there is none; a record with revision 0
  // bears the epoch in which that was read.
  std::function<void(
      std::function<void(Result<std::optional<OrderLeaseRecord>>)>)>
      read_lease;
  // Writes if the revision is still `record.revision`; 0 creates. The reply has
  // the position of the write. Fails with kConflict without a call if the store
  // is known to be in another epoch than that of the record.
  std::function<void(const OrderLeaseRecord&,
                     std::function<void(Result<StorePosition>)>)>
      write_lease;
  std::function<void(const EngineOrder&, std::function<void(OrderOutcome)>)>
      send_order;
  std::function<void(const UpstreamId&, const SocketAddress&,
                     std::function<void(Result<EngineState>)>)>
      read_engine;
  // The reports of usage that were stored; revision 0 if there are none.
  std::function<void(std::function<void(Result<UsageReportRecord>)>)>
      read_usage_reports;
  // Writes if the revision is still `record.revision`; 0 creates. The reply has
  // the new revision.
  std::function<void(const UsageReportRecord&,
                     std::function<void(Result<std::int64_t>)>)>
      write_usage_reports;
  std::function<void(const DutyRight&, const SendUsageReport&,
                     std::function<void(DutyOutcome)>)>
      send_usage;
  std::function<void(const DutyRight&, const ScaleOrder&,
                     std::function<void(DutyOutcome)>)>
      send_scale;
};

}  // namespace dotterellug::gateway
