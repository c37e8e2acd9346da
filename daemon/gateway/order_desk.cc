#include "daemon/gateway/order_desk.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace dotterellug::gateway {
namespace {

constexpr auto kPlanInterval = std::chrono::milliseconds(200);
// Reports of engines lag by some hundred milliseconds; one that is asked for
// sooner after an order may not show it.
constexpr auto kReportLag = std::chrono::milliseconds(300);
constexpr auto kPollInterval = std::chrono::milliseconds(250);
// A load or unload that shows no effect for this long beyond what it takes is
// looked at anew.
constexpr auto kOrderSlack = std::chrono::seconds(12);
// Daemons stop sending to a model for this long before it is unloaded: two of
// their reports.
constexpr auto kClosingTime = std::chrono::milliseconds(350);
// Loads from the weight store that may begin at once.
constexpr double kStoreBurst = 2.0;
// Part of the store's rate that is used.
constexpr double kStorePart = 0.95;
// Models opened lately are announced for this long: until the engine's own
// entry shows them.
constexpr auto kAnnounceTime = std::chrono::seconds(3);
// An adapter that callers asked for keeps its claim to a slot for this long:
// making room and loading take two orders.
constexpr auto kWantedTime = std::chrono::seconds(4);
// A model that was just loaded is not unloaded for another one for this long:
// twice what a load takes.
constexpr auto kSettleTime = std::chrono::seconds(6);
// An engine that daemons could not reach and that gave no report counts as dead
// for this long; its entry lapses after three missed signs of life.
constexpr auto kDeadTime = std::chrono::milliseconds(2500);
// Demand observed for this long tells which models are hardly asked for.
constexpr auto kObservedTime = std::chrono::seconds(8);
// How often the processes of the engines are noted.
constexpr auto kWatchInterval = std::chrono::seconds(1);
// A registered daemon that has not reported for this long has ended.
constexpr auto kMemberSilence = std::chrono::seconds(15);

auto AdapterNames(const serving::ServedModel& model) -> std::vector<AdapterId> {
  std::vector<AdapterId> names;
  for (int i = 1; i <= model.adapters; ++i) {
    names.emplace_back("a" + std::to_string(i));
  }
  return names;
}

auto RoomOf(const serving::EngineCapacity& engines) -> EngineRoom {
  EngineRoom room;
  room.weight_mb = engines.weight_mb;
  room.adapter_slots = engines.adapter_slots;
  for (const auto& model : engines.models) {
    room.model_mb[model.id] = model.weight_mb;
    room.adapter_mb =
        std::max(room.adapter_mb,
                 model.adapter_mb * static_cast<double>(engines.adapter_slots));
  }
  return room;
}

auto OutcomeName(OrderOutcome outcome) -> const char* {
  switch (outcome) {
    case OrderOutcome::kAccepted:
      return "accepted";
    case OrderOutcome::kAlreadyHolds:
      return "already_holds";
    case OrderOutcome::kRefused:
      return "refused";
    case OrderOutcome::kFenced:
      return "fenced";
    case OrderOutcome::kInvalid:
      return "invalid";
    case OrderOutcome::kWrongUpstream:
      return "wrong_upstream";
    case OrderOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace

OrderDesk::OrderDesk(GatewayContext& context, FleetNode& fleet,
                     std::shared_ptr<ControlLink> link)
    : context_(context),
      fleet_(fleet),
      link_(std::move(link)),
      lease_(context.settings.instance,
             OrderLeaseTiming{context.settings.bounds.lease_ttl},
             context.settings.bootstrap),
      unanswered_({UnansweredOrderOptions{}.lifetime,
                   context.settings.bounds.engines_check_fences}),
      wanted_adapters_(kWantedTime),
      announcements_(kAnnounceTime),
      started_at_(MonotonicNow()) {}

auto OrderDesk::Tick() -> void {
  if (!context_.catalog) return;
  const auto now = MonotonicNow();
  StepLease(now);
  SetLeading(lease_.FenceForOrder(SuspendAwareNow()).has_value());
  fleet_.SetLeasePosition(lease_.OwnPosition());
  // Also after the right is lost: what was ordered before is still under way.
  Publish(now);
  WatchEngines(now);
  if (!leading_) return;
  RefreshEngines(now);
  if (now - planned_at_ >= kPlanInterval) {
    planned_at_ = now;
    Plan(now);
  }
  RemoveSilentMembers(now);
}

auto OrderDesk::Stop(Duration time) -> void {
  lease_.Stop(SuspendAwareNow() + time);
}

auto OrderDesk::Contends(Timestamp now) const -> bool {
  std::map<InstanceId, double> capacities;
  for (const auto& [id, member] : fleet_.Members()) {
    capacities[id] = member.capacity;
  }
  const auto wait = ContentionDelay(context_.settings.instance, capacities);
  // A process that has just started has not seen anybody yet.
  return wait && now - std::max(fleet_.LeaderSeen(), started_at_) >
                     *wait + fleet_.RelayDelay();
}

auto OrderDesk::StepLease(Timestamp now) -> void {
  switch (lease_.Next(Contends(now), SuspendAwareNow())) {
    case OrderLease::Step::kNothing:
      return;
    case OrderLease::Step::kRead:
      return link_->read_lease(
          [this](const auto& result) { OnLeaseRead(result); });
    case OrderLease::Step::kWrite:
      return link_->write_lease(lease_.Proposal(), [this](const auto& result) {
        OnLeaseWritten(result);
      });
  }
}

auto OrderDesk::OnLeaseRead(
    const Result<std::optional<OrderLeaseRecord>>& result) -> void {
  const auto now = SuspendAwareNow();
  if (!result) {
    context_.log.Write(EventRank::kState, "order_lease_read_failed")
        .Add("error", result.error().Text());
    return lease_.OnReadFailed(now);
  }
  const auto record = result->value_or(OrderLeaseRecord{});
  fleet_.SetLeader(record.holder, record.fence);
  lease_.OnRead(record, now);
}

auto OrderDesk::OnLeaseWritten(const Result<StorePosition>& result) -> void {
  const auto now = SuspendAwareNow();
  if (result) return lease_.OnWritten(*result, now);
  context_.log.Write(EventRank::kState, "order_lease_write_failed")
      .Add("error", result.error().Text());
  if (result.error().kind == ErrorKind::kConflict) {
    return lease_.OnConflict(now);
  }
  lease_.OnWriteFailed(now);
}

auto OrderDesk::SetLeading(bool leading) -> void {
  if (leading == leading_) return AnnounceNewFence();
  leading_ = leading;
  leading_since_ = MonotonicNow();
  fleet_.SetLeading(leading);
  if (leading) {
    announced_fence_ = lease_.FenceForOrder(SuspendAwareNow()).value_or(0);
    fleet_.SetLeader(context_.settings.instance, announced_fence_);
    unanswered_.OnHeld(lease_.HadPredecessor(), leading_since_);
  }
  // A new holder begins with what the engines say and without credit at the
  // store, which the one before may have used.
  engines_.clear();
  store_credit_ = 0;
  store_credit_at_ = leading_since_;
  context_.log
      .Write(EventRank::kState,
             leading ? "order_lease_held" : "order_lease_lost")
      .Add("fence", lease_.FenceForOrder(SuspendAwareNow()).value_or(0));
}

// A holder that acquires the lease again after a restore of the store goes on
// with a higher fencing number.
auto OrderDesk::AnnounceNewFence() -> void {
  const auto fence = lease_.FenceForOrder(SuspendAwareNow()).value_or(0);
  if (!leading_ || fence <= announced_fence_) return;
  announced_fence_ = fence;
  fleet_.SetLeader(context_.settings.instance, fence);
  context_.log.Write(EventRank::kState, "order_lease_held").Add("fence", fence);
}

auto OrderDesk::WatchEngines(Timestamp now) -> void {
  if (now - watched_at_ < kWatchInterval) return;
  watched_at_ = now;
  for (const auto& [id, upstream] : context_.upstreams.All()) {
    const auto* pool = context_.catalog->FindPool(upstream->record.pool);
    if (pool == nullptr || !pool->engine) continue;
    unanswered_.OnEngine(id, upstream->record.started_ms, now);
  }
  unanswered_.Expire(now);
}

auto OrderDesk::RefreshEngines(Timestamp now) -> void {
  for (auto engine = engines_.begin(); engine != engines_.end();) {
    const auto current = context_.upstreams.Find(engine->first);
    const bool same = current == engine->second.upstream;
    engine = same ? std::next(engine) : engines_.erase(engine);
  }
  for (const auto& [id, upstream] : context_.upstreams.All()) {
    const auto* pool = context_.catalog->FindPool(upstream->record.pool);
    if (pool == nullptr || !pool->engine) continue;
    auto& engine = engines_[id];
    if (!engine.upstream) {
      // Until it is read, its own entry says what it holds.
      for (const auto& model : upstream->record.models) {
        engine.held[model.id] = model.adapters;
      }
    }
    engine.upstream = upstream;
    if (engine.reading || engine.order_pending || now < engine.read_after) {
      continue;
    }
    const bool polls =
        engine.weight_order && now >= engine.weight_order->poll_at;
    const bool needs_reading = !engine.known || polls;
    if (fleet_.Hub().Unreachable(id) ||
        (needs_reading && !upstream->Suspected(now))) {
      ReadEngine(engine, now);
    }
  }
}

auto OrderDesk::ReadEngine(Engine& engine, Timestamp now) -> void {
  engine.reading = true;
  engine.read_after = now + kPollInterval;
  const auto& record = engine.upstream->record;
  link_->read_engine(record.id, record.address,
                     [this, id = record.id](const Result<EngineState>& state) {
                       OnEngineRead(id, state);
                     });
}

auto OrderDesk::OnEngineRead(const UpstreamId& id,
                             const Result<EngineState>& state) -> void {
  const auto found = engines_.find(id);
  if (found == engines_.end()) return;
  auto& engine = found->second;
  engine.reading = false;
  const auto now = MonotonicNow();
  if (!state) {
    if (!fleet_.Hub().Unreachable(id)) return;
    if (engine.dead_until < now) {
      context_.log.Write(EventRank::kState, "engine_given_up")
          .Add("upstream", id.Value())
          .Add("error", state.error().Text());
    }
    engine.dead_until = now + kDeadTime;
    engine.known = false;
    return;
  }
  engine.dead_until = Timestamp{};
  // An order that left meanwhile makes the report too old.
  if (engine.order_pending) return;
  std::map<ModelId, std::set<AdapterId>> held;
  for (const auto& model : state->models) held[model.id] = model.adapters;
  if (engine.weight_order) {
    auto& order = *engine.weight_order;
    const bool present = held.count(order.model) > 0;
    const bool done = present == order.load && !state->busy;
    if (!done && now < order.give_up_at) {
      order.poll_at = now + kPollInterval;
      return;
    }
    if (done && order.load) {
      announcements_.OnLoaded({id, order.model, AdapterId()}, now);
      engine.loaded_at[order.model] = now;
    }
    if (!order.load) announcements_.OnUnloading({id, order.model}, now);
    context_.log.Write(EventRank::kState, "order_done")
        .Add("upstream", id.Value())
        .Add("model", order.model.Value())
        .Add("op", order.load ? "load" : "unload")
        .Add("outcome", done ? "done" : "given_up");
    engine.weight_order.reset();
  } else if (state->busy) {
    // An order of an earlier holder is under way.
    return;
  }
  // The entry in the list may still be that of an earlier process.
  if (state->started_ms > 0) {
    unanswered_.OnEngine(id, state->started_ms, now);
  }
  engine.sequence = state->sequence;
  engine.held = std::move(held);
  engine.known = true;
}

auto OrderDesk::StoreLoads(double per_second, Timestamp now) -> std::int64_t {
  const auto seconds = ToSeconds(now - store_credit_at_);
  store_credit_at_ = now;
  store_credit_ =
      std::min(kStoreBurst, store_credit_ + seconds * per_second * kStorePart);
  return static_cast<std::int64_t>(store_credit_);
}

auto OrderDesk::Plan(Timestamp now) -> void {
  // Demand that only a few daemons report would move copies wrongly.
  const auto members = static_cast<std::int64_t>(fleet_.Members().size());
  if (fleet_.Hub().ReportingDaemonCount() * 2 < members) return;
  for (const auto& missing : fleet_.Hub().TakeMissingAdapters()) {
    wanted_adapters_.OnRequest({missing.model, missing.adapter}, now);
  }
  const auto demand = fleet_.Hub().Demand(now);
  for (const auto& [id, pool] : context_.catalog->Pools()) {
    if (!pool.engine) continue;
    PlanCopies(pool, demand, now);
    PlanAdapterCopies(pool, demand, now);
  }
}

auto OrderDesk::PlanCopies(const serving::ServicePool& pool,
                           const Demand& demand, Timestamp now) -> void {
  const auto& engines = *pool.engine;
  CopyPlannerInput input;
  std::unordered_map<ModelId, double> adapter_mb;
  const auto room = RoomOf(engines);
  for (const auto& model : engines.models) {
    const auto found = demand.find(model.id);
    CopyPlannerModel copy{model.id, model.weight_mb};
    if (found != demand.end()) {
      copy.demand = found->second.recent;
      copy.long_term_demand = found->second.long_term;
    }
    input.models.push_back(copy);
    adapter_mb[model.id] = model.adapter_mb;
  }
  for (const auto& [id, engine] : engines_) {
    const auto& record = engine.upstream->record;
    if (record.pool != pool.id) continue;
    CopyPlannerEngine copy;
    copy.id = id;
    copy.zone = record.zone;
    copy.usable =
        context_.upstreams.Usable(*engine.upstream) && now >= engine.dead_until;
    copy.busy = !engine.known || engine.order_pending || engine.weight_order ||
                engine.closing || unanswered_.Waits(id, now);
    if (engine.upstream->work_factor.Known()) {
      copy.work_factor = engine.upstream->work_factor.Usual();
    }
    copy.load = static_cast<double>(fleet_.Hub().RequestsInFlight(id)) /
                static_cast<double>(std::max<std::int64_t>(record.slots, 1));
    copy.capacity_mb =
        engines.weight_mb -
        unanswered_.ReservedMb({id, engine.sequence, engine.held}, room, now);
    for (const auto& [model, adapters] : engine.held) {
      if (engine.closing != model) copy.models.insert(model);
      const auto found = adapter_mb.find(model);
      if (found == adapter_mb.end()) continue;
      copy.adapter_mb += found->second * static_cast<double>(adapters.size());
    }
    copy.adapter_mb = std::max(copy.adapter_mb, room.adapter_mb);
    if (engine.weight_order) {
      const auto& order = *engine.weight_order;
      if (order.load) {
        copy.models.insert(order.model);
      } else {
        copy.models.erase(order.model);
      }
    }
    for (const auto& [model, at] : engine.loaded_at) {
      if (now - at < kSettleTime) copy.recently_loaded.insert(model);
    }
    copy.cached = record.in_memory;
    copy.cached.insert(record.on_disk.begin(), record.on_disk.end());
    input.engines.push_back(std::move(copy));
  }
  input.demand_observed =
      context_.demand.TimeSinceFirstRequest(now) > kObservedTime;
  input.max_weight_store_loads =
      StoreLoads(engines.store_loads_per_second, now);
  for (const auto& step : planner_.Plan(input)) Apply(step, engines, now);
  // Models whose time of closing is over are unloaded.
  for (auto& [id, engine] : engines_) {
    if (!engine.closing || engine.order_pending || now < engine.closed_at) {
      continue;
    }
    const auto model = *engine.closing;
    SendOrder(engine, false, model, AdapterId(), kPollInterval);
  }
}

auto OrderDesk::Apply(const CopyOrder& step,
                      const serving::EngineCapacity& engines, Timestamp now)
    -> void {
  auto& engine = engines_[step.engine];
  if (step.kind == CopyOrderKind::kUnload) {
    engine.closing = step.model;
    engine.closed_at = now + kClosingTime + fleet_.RelayDelay();
    return;
  }
  Duration expected = std::chrono::seconds(1);
  const auto& record = engine.upstream->record;
  for (const auto& model : engines.models) {
    if (model.id != step.model) continue;
    expected = model.store_load_time;
    if (record.on_disk.count(model.id) > 0) expected = model.disk_load_time;
    if (record.in_memory.count(model.id) > 0) expected = model.memory_load_time;
  }
  const bool sent = SendOrder(engine, true, step.model, AdapterId(), expected);
  if (sent && step.from_weight_store) store_credit_ -= 1;
}

auto OrderDesk::PlanAdapterCopies(const serving::ServicePool& pool,
                                  const Demand& demand, Timestamp now) -> void {
  const auto& engines = *pool.engine;
  AdapterPlannerInput input;
  for (const auto& model : engines.models) {
    if (model.adapters > 0) input.adapters[model.id] = AdapterNames(model);
    const auto found = demand.find(model.id);
    if (found != demand.end()) {
      input.demand[model.id] = found->second.recent;
    }
  }
  for (const auto& [id, engine] : engines_) {
    if (engine.upstream->record.pool != pool.id || !engine.known) continue;
    if (!context_.upstreams.Usable(*engine.upstream)) continue;
    AdapterPlannerEngine adapters;
    adapters.id = id;
    adapters.available = !engine.order_pending && !unanswered_.Waits(id, now);
    adapters.slots = engines.adapter_slots;
    adapters.held = engine.held;
    if (engine.closing) {
      // Its adapters take their slots until it is unloaded.
      const auto closing = adapters.held.find(*engine.closing);
      if (closing != adapters.held.end()) {
        adapters.slots -= static_cast<std::int64_t>(closing->second.size());
        adapters.held.erase(closing);
      }
    }
    input.engines.push_back(std::move(adapters));
  }
  input.requested = wanted_adapters_.Current(now);
  for (const auto& step : PlanAdapters(input)) {
    auto& engine = engines_[step.engine];
    SendOrder(engine, step.load, step.model, step.adapter, Duration(0));
  }
}

auto OrderDesk::SendOrder(Engine& engine, bool load, const ModelId& model,
                          const AdapterId& adapter, Duration expected) -> bool {
  const auto fence = lease_.FenceForOrder(SuspendAwareNow());
  if (!fence || engine.order_pending) return false;
  const auto& record = engine.upstream->record;
  const auto* pool = context_.catalog->FindPool(record.pool);
  if (pool == nullptr || !pool->engine) return false;
  const auto now = MonotonicNow();
  const auto admitted = unanswered_.Admit(
      {record.id, load, model, adapter, engine.sequence},
      {record.id, engine.sequence, engine.held}, RoomOf(*pool->engine), now);
  if (!admitted) return false;
  engine.order_pending = true;
  engine.pending_order = unanswered_.OnSent(*admitted, now);
  EngineOrder order;
  order.upstream = record.id;
  order.address = record.address;
  order.load = admitted->load;
  order.model = admitted->model;
  order.adapter = admitted->adapter;
  order.holder = context_.settings.instance;
  order.fence = *fence;
  order.expected_sequence = engine.sequence;
  link_->send_order(order, [this, order, number = engine.pending_order,
                            expected](OrderOutcome outcome) {
    OnOrderReply(order, number, expected, outcome);
  });
  return true;
}

auto OrderDesk::OnOrderReply(const EngineOrder& order,
                             UnansweredOrders::Number number, Duration expected,
                             OrderOutcome outcome) -> void {
  context_.metrics.Count(GatewayCounter::kOrders, OutcomeName(outcome));
  context_.log.Write(EventRank::kState, "order")
      .Add("upstream", order.upstream.Value())
      .Add("op", order.load ? "load" : "unload")
      .Add("model", order.model.Value())
      .Add("adapter", order.adapter.Value())
      .Add("fence", order.fence)
      .Add("sequence", order.expected_sequence)
      .Add("outcome", OutcomeName(outcome));
  if (outcome == OrderOutcome::kFenced) lease_.OnFenced();
  if (outcome != OrderOutcome::kUnknown) unanswered_.OnAnswered(number);
  const auto found = engines_.find(order.upstream);
  if (found == engines_.end() || !found->second.order_pending ||
      found->second.pending_order != number) {
    return;
  }
  auto& engine = found->second;
  const auto now = MonotonicNow();
  engine.order_pending = false;
  const bool weights = order.adapter.Empty();
  if (weights && !order.load) engine.closing.reset();
  // An engine drops an adapter at once and says so in the same answer.
  const bool dropped =
      !weights && !order.load && outcome == OrderOutcome::kAlreadyHolds;
  if (outcome != OrderOutcome::kAccepted && !dropped) {
    // What the engine holds is read anew before anything else is ordered.
    engine.known = false;
    engine.read_after = now + kReportLag;
    return;
  }
  ++engine.sequence;
  if (weights) {
    engine.known = false;
    const auto poll_at = now + std::max<Duration>(expected, kReportLag);
    engine.weight_order =
        WeightOrder{order.load, order.model, poll_at, poll_at + kOrderSlack};
    engine.read_after = poll_at;
    return;
  }
  // The next order to this engine need not wait for the regular plan.
  planned_at_ = Timestamp{};
  auto& adapters = engine.held[order.model];
  if (order.load) {
    adapters.insert(order.adapter);
    announcements_.OnLoaded({order.upstream, order.model, order.adapter}, now);
    Publish(now);
  } else {
    adapters.erase(order.adapter);
  }
}

auto OrderDesk::Publish(Timestamp now) -> void {
  for (const auto& [id, engine] : engines_) {
    if (engine.closing) announcements_.OnUnloading({id, *engine.closing}, now);
    const auto& order = engine.weight_order;
    if (order && !order->load) {
      announcements_.OnUnloading({id, order->model}, now);
    }
  }
  fleet_.SetUnloading(announcements_.Unloading(now));
  fleet_.SetLoaded(announcements_.Loaded(now));
}

auto OrderDesk::RemoveSilentMembers(Timestamp now) -> void {
  if (now - leading_since_ < kMemberSilence) return;
  for (const auto& [id, member] : fleet_.Members()) {
    if (id == context_.settings.instance) continue;
    const auto last = fleet_.Hub().LastReport(id).value_or(leading_since_);
    if (now - std::max(last, leading_since_) < kMemberSilence) continue;
    context_.log.Write(EventRank::kState, "member_removed")
        .Add("member", id.Value());
    link_->remove_member(member);
    // One at a time; the watch shows the removal before the next.
    leading_since_ = now - kMemberSilence + std::chrono::seconds(1);
    return;
  }
}

}  // namespace dotterellug::gateway
