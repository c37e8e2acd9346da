#include "daemon/gateway/duty_desk.h"

#include <algorithm>
#include <utility>

#include "daemon/gateway/usage_meter.h"

namespace dotterellug::gateway {
namespace {

// Part of the accepted rate that is used. The platform counts the calls of the
// holder before within the same second.
constexpr double kRatePart = 0.8;
constexpr auto kPlanInterval = std::chrono::milliseconds(200);
// A call that was not taken is repeated after this time.
constexpr auto kRetryPause = std::chrono::milliseconds(600);
// A call without an answer is carried out within this time or never.
constexpr auto kLateCall = std::chrono::seconds(8);
// After this time as the holder, the other daemons have repeated all their
// counts to this one: eight reports, passed on by zone hubs once.
constexpr auto kCountsKnown = std::chrono::seconds(2);

auto OutcomeName(DutyOutcome outcome) -> const char* {
  switch (outcome) {
    case DutyOutcome::kTaken:
      return "taken";
    case DutyOutcome::kFenced:
      return "fenced";
    case DutyOutcome::kTooMany:
      return "too_many";
    case DutyOutcome::kRefused:
      return "refused";
    case DutyOutcome::kNotSent:
      return "not_sent";
    case DutyOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace

DutyDesk::DutyDesk(GatewayContext& context, FleetNode& fleet, OrderDesk& orders,
                   std::shared_ptr<ControlLink> link)
    : context_(context),
      fleet_(fleet),
      orders_(orders),
      link_(std::move(link)) {
  const auto& settings = context_.settings.duties;
  if (!settings || settings->fault.empty()) return;
  context_.log.Write(EventRank::kFailure, "duties_unusable")
      .Add("error", settings->fault);
}

auto DutyDesk::Tick() -> void {
  const auto& settings = context_.settings.duties;
  if (!settings || !settings->fault.empty()) return;
  const auto now = MonotonicNow();
  const bool holder = Fence().has_value();
  if (holder && !holder_) {
    holder_since_ = now;
    // What was ordered since this daemon last held the lease is not known.
    planner_.Reset();
    scales_.clear();
  }
  holder_ = holder;
  if (context_.usage) StepUsage(now);
  if (!holder_ || !settings->autoscale || !context_.catalog) return;
  if (now - planned_at_ >= kPlanInterval) {
    planned_at_ = now;
    PlanScaling(now);
  }
  SendScaleOrder(now);
}

auto DutyDesk::SetLevels() -> void {
  auto& metrics = context_.metrics;
  if (context_.usage) {
    const auto window = context_.usage->Reports().LastReported();
    metrics.Set(GatewayLevel::kLastUsageWindow,
                static_cast<double>(window.Value()));
  }
  for (const auto& [subject, scale] : scales_) stated_.insert(subject);
  for (const auto& subject : stated_) {
    const auto found = scales_.find(subject);
    const bool known = holder_ && found != scales_.end();
    metrics.Set(GatewayPartLevel::kDesiredEngines,
                subject.pool.Value() + "/" + subject.zone.Value(),
                known ? static_cast<double>(found->second.desired) : 0.0);
  }
}

auto DutyDesk::PlanScaling(Timestamp now) -> void {
  // Demand that only a few daemons report would take engines away wrongly.
  const auto members = static_cast<std::int64_t>(fleet_.Members().size());
  if (now - holder_since_ < kCountsKnown ||
      fleet_.Hub().ReportingDaemonCount() * 2 < members) {
    return;
  }
  std::vector<ScalingState> states;
  for (const auto& [id, pool] : context_.catalog->Pools()) {
    if (!pool.scaling) continue;
    auto more = ScalingStates(pool, now);
    states.insert(states.end(), more.begin(), more.end());
  }
  for (const auto& decision : planner_.Plan(states, now)) {
    context_.log.Write(EventRank::kState, "scale_planned")
        .Add("pool", decision.subject.pool.Value())
        .Add("zone", decision.subject.zone.Value())
        .Add("desired", decision.desired)
        .Add("demand_slots", std::to_string(decision.demand));
    auto& scale = scales_[decision.subject];
    if (scale.uncertain) scale.superseded_at = now + kLateCall;
    scale.desired = decision.desired;
    scale.taken = false;
    scale.uncertain = false;
    scale.retry_at = now;
  }
}

auto DutyDesk::ScalingStates(const serving::ServicePool& pool, Timestamp now)
    -> std::vector<ScalingState> {
  std::map<AvailabilityZoneId, ScalingState> by_zone;
  auto& zones = zones_[pool.id];
  for (const auto& upstream : context_.upstreams.InPool(pool.id)) {
    const auto& record = upstream->record;
    zones.insert(record.zone);
    auto& state = by_zone[record.zone];
    state.running +=
        static_cast<double>(fleet_.Hub().RequestsInFlight(record.id));
    if (record.leaving) continue;
    ++state.engines;
    state.slots_per_engine = static_cast<double>(record.slots);
  }
  std::vector<double> models;
  if (pool.engine) {
    const auto demand = fleet_.Hub().Demand(now);
    for (const auto& model : pool.engine->models) {
      if (demand.count(model.id) > 0) models.push_back(model.weight_mb);
    }
  }
  const auto demands = fleet_.Hub().PoolDemandByZone(now);
  std::vector<ScalingState> states;
  for (const auto& zone : zones) {
    // Nobody is sent to a zone that is out of service.
    if (context_.upstreams.ZoneDisabled(zone)) continue;
    auto& state = by_zone[zone];
    state.subject = {pool.id, zone};
    state.min_engines = pool.scaling->min_engines;
    state.max_engines = pool.scaling->max_engines;
    state.boot_time = pool.scaling->boot_time;
    if (pool.engine) {
      state.slots_per_engine = static_cast<double>(pool.engine->slots);
      state.engine_mb = pool.engine->weight_mb;
      state.model_mb = models;
    }
    const auto found = demands.find({pool.id, zone});
    if (found != demands.end()) {
      state.offered_slots = found->second.slots;
      state.waiting = static_cast<double>(found->second.waiting);
    }
    states.push_back(state);
  }
  return states;
}

auto DutyDesk::SendScaleOrder(Timestamp now) -> void {
  if (scale_in_progress_ || !MayCall(now)) return;
  const auto fence = Fence();
  if (!fence) return;
  for (auto& [subject, scale] : scales_) {
    const bool again = scale.superseded_at && now >= *scale.superseded_at;
    if ((scale.taken && !again) || now < scale.retry_at) continue;
    if (again) scale.superseded_at.reset();
    scale_in_progress_ = true;
    NoteCall(now);
    link_->send_scale({context_.settings.instance, *fence},
                      {subject.pool, subject.zone, scale.desired},
                      [this, subject = subject, desired = scale.desired,
                       fence = *fence](DutyOutcome outcome) {
                        scale_in_progress_ = false;
                        OnOutcome("scale",
                                  subject.pool.Value() + "/" +
                                      subject.zone.Value() + "=" +
                                      std::to_string(desired),
                                  fence, outcome);
                        OnScaleReply(subject, desired, outcome);
                      });
    return;
  }
}

auto DutyDesk::OnScaleReply(const ScalingSubject& subject, std::int64_t desired,
                            DutyOutcome outcome) -> void {
  const auto found = scales_.find(subject);
  if (found == scales_.end()) return;
  auto& scale = found->second;
  const auto now = MonotonicNow();
  const bool unknown = outcome == DutyOutcome::kUnknown;
  if (scale.desired != desired) {
    // The number was planned anew while the call was under way.
    if (unknown) scale.superseded_at = now + kLateCall;
    return;
  }
  scale.taken = outcome == DutyOutcome::kTaken;
  scale.uncertain = scale.uncertain || unknown;
  scale.retry_at = now + kRetryPause;
}

auto DutyDesk::Fence() const -> std::optional<std::int64_t> {
  const auto fence = orders_.FenceForDuty();
  if (!fence || *fence <= refused_fence_) return std::nullopt;
  return fence;
}

auto DutyDesk::StepUsage(Timestamp now) -> void {
  auto& meter = *context_.usage;
  UsageReporter::Situation situation;
  situation.time = meter.TimeAt(now, now);
  situation.holder = holder_;
  situation.had_predecessor = orders_.HadPredecessor();
  const auto members = static_cast<std::int64_t>(fleet_.Members().size());
  situation.counts_arrive = now - holder_since_ >= kCountsKnown &&
                            fleet_.Hub().ReportingDaemonCount() * 2 >= members;
  situation.may_send = MayCall(now);
  const auto action = meter.Reports().Step(
      situation, [&](UsageWindow window) { return meter.Total(window); }, now);
  if (!action) return;
  std::visit([this](const auto& typed) { Do(typed); }, *action);
}

auto DutyDesk::Do(const ReadUsageReports&) -> void {
  link_->read_usage_reports([this](const Result<UsageReportRecord>& record) {
    auto& reports = context_.usage->Reports();
    if (record) return reports.OnRead(*record);
    LogStoreFailure("read", record.error());
    reports.OnReadFailed(MonotonicNow());
  });
}

auto DutyDesk::Do(const WriteUsageReports& action) -> void {
  const auto on_written = [this](const Result<std::int64_t>& revision) {
    auto& reports = context_.usage->Reports();
    if (revision) return reports.OnWritten(*revision);
    LogStoreFailure("write", revision.error());
    reports.OnWriteFailed(MonotonicNow());
  };
  link_->write_usage_reports(action.record, on_written);
}

auto DutyDesk::Do(const SendUsageReport& action) -> void {
  const auto fence = Fence();
  const auto window = action.window;
  if (!fence) {
    return context_.usage->Reports().OnSent(window, false, MonotonicNow());
  }
  NoteCall(MonotonicNow());
  link_->send_usage(
      {context_.settings.instance, *fence}, action,
      [this, window, fence = *fence](DutyOutcome outcome) {
        OnOutcome("usage", std::to_string(window.Value()), fence, outcome);
        context_.usage->Reports().OnSent(window, outcome == DutyOutcome::kTaken,
                                         MonotonicNow());
      });
}

auto DutyDesk::NoteCall(Timestamp now) -> void {
  const auto rate = context_.settings.duties->calls_per_second * kRatePart;
  call_due_ = now + FromSeconds(1 / rate);
}

auto DutyDesk::OnOutcome(const char* duty, const std::string& subject,
                         std::int64_t fence, DutyOutcome outcome) -> void {
  context_.metrics.Count(GatewayCounter::kDutyCalls,
                         std::string(duty) + "_" + OutcomeName(outcome));
  context_.log.Write(EventRank::kState, "duty_call")
      .Add("duty", duty)
      .Add("subject", subject)
      .Add("fence", fence)
      .Add("outcome", OutcomeName(outcome));
  if (outcome != DutyOutcome::kFenced) return;
  refused_fence_ = std::max(refused_fence_, fence);
  orders_.OnDutyFenced(fence);
}

auto DutyDesk::LogStoreFailure(const char* call, const Error& error) -> void {
  context_.log.Write(EventRank::kState, "duty_record_failed")
      .Add("call", call)
      .Add("error", error.Text());
}

}  // namespace dotterellug::gateway
