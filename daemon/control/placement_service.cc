#include "daemon/control/placement_service.h"

#include <algorithm>
#include <utility>

namespace dotterellug {
namespace {

constexpr Duration kStep = std::chrono::milliseconds(300);
// A plan takes 0.5 s at 5,200 engines; command steps are much cheaper.
constexpr Duration kPlanInterval = std::chrono::seconds(1);
// An engine without a report for this long counts as not usable.
constexpr Duration kReportLimit = std::chrono::seconds(3);
// Tokens per second that keep one engine fully busy, until engines report
// their own speed.
constexpr double kEngineTokensPerSecond = 2500;
// Part of an engine's memory that stays free for the KV cache of a model that
// it serves: the context of this many requests.
constexpr std::int64_t kCachedContexts = 1;

}  // namespace

PlacementService::PlacementService(const MemberId& self,
                                   std::unique_ptr<ObjectStore> store,
                                   Metrics& metrics)
    : self_(self),
      store_(std::move(store)),
      metrics_(metrics),
      keeper_(self, *store_) {
  sender_ = std::make_unique<CommandSender>(
      [this](const EngineCommand& command) { return Authorize(command); },
      [this](const CommandResponse& answer) {
        const std::lock_guard lock(mutex_);
        if (reconciler_) reconciler_->Handle(MonotonicNow(), answer);
      });
  thread_ = std::thread([this] { Run(); });
}

PlacementService::~PlacementService() {
  stopping_ = true;
  thread_.join();
}

auto PlacementService::SetDocument(const SharedSnapshot& snapshot) -> void {
  snapshot_.Store(snapshot);
}

auto PlacementService::OnObservation(const UpstreamObservation& observation)
    -> void {
  if (!observation.reachable) return;
  const std::lock_guard lock(mutex_);
  seen_[observation.upstream] = observation;
}

auto PlacementService::SetLeaving(std::set<UpstreamId> leaving) -> void {
  const std::lock_guard lock(mutex_);
  leaving_ = std::move(leaving);
}

auto PlacementService::OnDemand(const ModelDemandReport& report) -> void {
  const std::lock_guard lock(mutex_);
  demand_.Apply(MonotonicNow(), report);
}

auto PlacementService::Owner() -> std::optional<MemberId> {
  const std::lock_guard lock(mutex_);
  return owner_;
}

auto PlacementService::Authorize(const EngineCommand& command) -> bool {
  const std::lock_guard lock(mutex_);
  if (!reconciler_ || !lease_) return false;
  return reconciler_->AuthorizeSend(MonotonicNow(), *lease_, command)
      .has_value();
}

auto PlacementService::Run() -> void {
  while (!stopping_) {
    const auto begun = MonotonicNow();
    keeper_.Step();
    const auto lease = keeper_.Lease(MonotonicNow());
    {
      const std::lock_guard lock(mutex_);
      owner_ = keeper_.Owner();
      // An ended lease is kept for AuthorizeSend, which refuses by its time.
      if (lease) lease_ = lease;
    }
    if (lease.has_value() != is_owner_) {
      is_owner_ = lease.has_value();
      LogState(LogSeverity::kInfo,
               lease ? "placement owner" : "no longer placement owner");
    }
    if (lease) Work(*lease);
    const auto rest = kStep - (MonotonicNow() - begun);
    if (rest > Duration::zero()) std::this_thread::sleep_for(rest);
  }
}

auto PlacementService::StartTerm(const OwnerLease& lease, Timestamp now)
    -> void {
  if (reconciler_ && planned_term_ == lease.term) return;
  planned_term_ = lease.term;
  reconciler_ = std::make_unique<PlacementReconciler>(
      lease.term, now, PlacementReconcilerOptions{});
  planner_ = std::make_unique<Planner>();
}

auto PlacementService::Work(const OwnerLease& lease) -> void {
  const auto snapshot = snapshot_.Load();
  if (!snapshot) return;
  const auto& document = snapshot->document;
  std::vector<PlacementAction> actions;
  {
    const std::lock_guard lock(mutex_);
    const auto now = MonotonicNow();
    StartTerm(lease, now);
    FeedReports(document, now);
    Plan(document, now);
    actions = reconciler_->Step(now, lease);
  }
  for (const auto& action : actions) CarryOut(document, action);
}

// Called with the lock held, as the next two.
auto PlacementService::FeedReports(const ServingDocument& document,
                                   Timestamp now) -> void {
  for (const auto& [id, upstream] : document.upstreams) {
    if (upstream.kind != UpstreamKind::kEngine) continue;
    const auto seen = seen_.find(id);
    const bool live =
        seen != seen_.end() && now - seen->second.sampled_at < kReportLimit;
    reconciler_->SetEngine(
        {id, upstream.memory, upstream.checks_fencing, live});
    if (!live) continue;
    EngineReport report;
    report.engine = id;
    report.incarnation = seen->second.incarnation;
    report.sampled_at = seen->second.sampled_at;
    report.resident = seen->second.resident;
    reconciler_->Handle(now, report);
  }
}

auto PlacementService::PlanInputOf(const ServingDocument& document,
                                   Timestamp now) -> PlanInput {
  PlanInput input;
  for (const auto& [id, model] : document.models) {
    PlannerModel planned;
    planned.id = id;
    planned.version = model.version;
    planned.weight_bytes = model.weight_bytes;
    planned.kv_bytes = Bytes(model.kv_bytes_per_token.Value() *
                             model.context_tokens * kCachedContexts);
    planned.min_copies = model.min_copies;
    planned.demand =
        demand_.Rate(now, id).PlanningRate() / kEngineTokensPerSecond;
    input.models.push_back(std::move(planned));
  }
  for (const auto& [id, adapter] : document.adapters) {
    input.adapters.push_back({id, adapter.base, adapter.bytes, 0});
  }
  for (const auto& [id, upstream] : document.upstreams) {
    if (upstream.kind != UpstreamKind::kEngine) continue;
    PlannerEngine engine;
    engine.id = id;
    engine.zone = upstream.zone;
    engine.memory = upstream.memory;
    const auto seen = seen_.find(id);
    const auto zone = document.zones.find(upstream.zone);
    engine.usable = seen != seen_.end() &&
                    now - seen->second.sampled_at < kReportLimit &&
                    leaving_.count(id) == 0 && zone != document.zones.end() &&
                    !zone->second.out;
    if (const auto* record = reconciler_->Record(id)) {
      for (const auto& item : record->Items()) {
        if (item.intent != ItemIntent::kKeep) continue;
        engine.reserved.push_back(
            {item.key, reconciler_->IsResident(id, item.key)});
      }
    }
    input.engines.push_back(std::move(engine));
  }
  return input;
}

auto PlacementService::Plan(const ServingDocument& document, Timestamp now)
    -> void {
  // Before every usable engine's record was read, the plan would start moves
  // that the records already made.
  for (const auto& [id, seen] : seen_) {
    const auto upstream = document.upstreams.find(id);
    if (upstream == document.upstreams.end() ||
        upstream->second.kind != UpstreamKind::kEngine) {
      continue;
    }
    if (now - seen.sampled_at < kReportLimit &&
        reconciler_->Record(id) == nullptr) {
      return;
    }
  }
  if (now - planned_at_ < kPlanInterval) return;
  planned_at_ = now;
  auto result = planner_->Plan(now, PlanInputOf(document, now));
  for (auto& [engine, target] : result.targets) {
    reconciler_->SetTarget(engine, std::move(target));
  }
}

auto PlacementService::CarryOut(const ServingDocument& document,
                                const PlacementAction& action) -> void {
  const auto handle = [this](const PlacementEvent& event) {
    const std::lock_guard lock(mutex_);
    reconciler_->Handle(MonotonicNow(), event);
  };
  std::visit(
      Overloaded{
          [&](const ReadRecord& read) {
            const auto object = store_->Get(EngineRecordName(read.engine));
            if (!object && object.error().kind == ErrorKind::kNotFound) {
              handle(RecordReadCompleted{read.engine, kAbsent, EngineRecord()});
              return;
            }
            if (!object) {
              metrics_.Count(Event::kStoreError);
              handle(StoreCallFailed{read.engine});
              return;
            }
            const auto record = EngineRecord::Decode(object->value);
            if (!record) {
              LogState(LogSeverity::kError, "placement record is not readable",
                       {{"engine", read.engine.Value()}});
              handle(StoreCallFailed{read.engine});
              return;
            }
            handle(RecordReadCompleted{read.engine, object->version, *record});
          },
          [&](const WriteRecord& write) {
            const auto written =
                store_->Put(EngineRecordName(write.engine),
                            write.record.Encode(), write.expected);
            if (written) {
              handle(RecordWriteCompleted{write.engine, *written});
            } else {
              metrics_.Count(Event::kStoreError);
              handle(StoreCallFailed{write.engine});
            }
          },
          [&](const SendCommand& send) {
            const auto upstream = document.upstreams.find(send.command.engine);
            if (upstream == document.upstreams.end()) return;
            sender_->Send(
                {{upstream->second.host, upstream->second.port}, send.command});
          }},
      action);
}

}  // namespace dotterellug
