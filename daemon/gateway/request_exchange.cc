#include "daemon/gateway/request_exchange.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include "core/text/parse_integer.h"
#include "daemon/gateway/usage_meter.h"

namespace dotterellug::gateway {
namespace {

using eventhttp::ExchangeEnd;
using eventhttp::HeadVerdict;
using serving::RequestKind;
using serving::SelectionFailure;

// A request waits for tokens of its account for this part of its goal, but for
// a few round trips to the hub at least. The hub refuses it at once if the
// tokens come later.
constexpr auto kLeastTokenWait = std::chrono::milliseconds(120);
constexpr double kTokenWaitPart = 0.3;
// The same shortly after the start, when this daemon has only its own small
// part of the limits until it knows the others and their hub, and while no hub
// says anything about the account, because it has failed.
constexpr auto kFirstTokenWait = std::chrono::milliseconds(900);
constexpr auto kStartTime = std::chrono::seconds(2);
// Part of the caller's patience for which a request waits for an upstream that
// can take it, such as one that is loading its model.
constexpr double kUpstreamWaitPart = 0.6;
// The same while the upstreams exist and are only full or cold.
constexpr double kFullWaitPart = 0.3;
// Callers of streams leave when nothing arrives for the longest of this time,
// these multiples of the goal and of the longest pause in time.
constexpr auto kLeastPatience = std::chrono::seconds(2);
constexpr int kPatienceGoals = 4;
constexpr int kPatienceGaps = 8;
// When a caller whose request found no upstream is asked to come back.
constexpr auto kReturnAfter = std::chrono::milliseconds(1000);
// Callers come back after up to a third of the time that they have left.
constexpr double kReturnWaitPart = 0.3;
// When a caller is asked to come back whose daemon stops: another daemon can
// take its request at once.
constexpr Duration kReturnToAnotherDaemon{0};
// A request that arrives before the configuration waits so long for it.
constexpr auto kConfigurationWait = std::chrono::milliseconds(900);
// Before the configuration is known.
constexpr auto kReturnWhenConfigured = std::chrono::milliseconds(500);
// A kept connection that was idle for longer is not used for a request that may
// run only once: the upstream may be closing it.
constexpr auto kOnceMaxIdle = std::chrono::milliseconds(1000);
constexpr auto kMaxIdle = std::chrono::seconds(30);
// Answers up to this size are kept until they are complete, so that a broken
// one can be asked for again.
constexpr std::size_t kBufferedAnswer = 262'144;
// An answer that is not passed on may have this many bytes and may take this
// long; then its connection is closed and the request goes on.
constexpr std::size_t kMaxDiscardedBytes = 65'536;
constexpr auto kMaxDiscardTime = std::chrono::milliseconds(250);
// Unsent bytes of a stream at which its upstream is read no further.
constexpr std::size_t kStreamHighWater = 65'536;
// Requests take up to this multiple of the time expected of them.
constexpr double kLongestService = 1.5;
// An attempt is not made when less time is left than this.
constexpr auto kLeastTime = std::chrono::milliseconds(20);
// An upstream that has not answered an idempotent request after this multiple
// of the route's goal is given up for another one.
constexpr int kSilenceGoals = 2;
// Requests waiting at an upstream beyond its slots, as a part of the slots.
constexpr double kQueuePart = 1.0;
// An upstream with at most this part of its slots in use has a free one,
// although the load of other daemons is known with a delay.
constexpr double kCertainSlotPart = 0.75;
// An upstream that delivers this many events of a stream works on its prompt.
constexpr std::int64_t kWorkingEvents = 2;
// A stated load that cannot be right is logged this often at most, with so many
// bytes of it.
constexpr auto kIgnoredLoadInterval = std::chrono::seconds(1);
constexpr std::size_t kMaxLoggedValue = 64;
// Not-run answers after which a request is refused.
constexpr int kMostNotRun = 3;

auto ReasonName(SelectionFailure reason) -> const char* {
  switch (reason) {
    case SelectionFailure::kNoUpstream:
      return "no_upstream";
    case SelectionFailure::kNoModel:
      return "model_not_loaded";
    case SelectionFailure::kNoneEligible:
      return "upstreams_full";
    case SelectionFailure::kPaused:
      return "upstreams_paused";
  }
  return "no_upstream";
}

auto ContentLength(const eventhttp::HeaderFields& fields)
    -> std::optional<std::uint64_t> {
  const auto* value = FindField(fields, "Content-Length");
  if (value == nullptr) return std::nullopt;
  const auto length = ParseInteger(*value);
  if (!length || *length < 0) return std::nullopt;
  return static_cast<std::uint64_t>(*length);
}

// The media type in a Content-Type field, which may be missing, without
// parameters.
auto MediaType(const std::string* value) -> std::string {
  if (value == nullptr) return "";
  auto type = value->substr(0, value->find_first_of("; "));
  std::transform(type.begin(), type.end(), type.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return type;
}

// Prompt tokens that an engine must read. Shared parts are mostly kept there.
auto UncachedPromptTokens(const serving::ServiceRequest& request)
    -> std::int64_t {
  if (!request.size) return 0;
  return std::max<std::int64_t>(
      request.size->prompt_tokens - request.shared_prefix_tokens, 0);
}

// Whether a status tells a caller that its request has not run and will not.
auto PromisesNotRun(int status) -> bool {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

auto Part(Duration whole, double part) -> Duration {
  return FromSeconds(ToSeconds(whole) * part);
}

}  // namespace

RequestExchange::RequestExchange(
    GatewayContext& context, std::shared_ptr<eventhttp::ServerSession> session,
    eventhttp::ServerRequest request)
    : context_(context),
      session_(std::move(session)),
      http_(std::move(request)),
      body_(std::make_shared<const std::string>(std::move(http_.body))),
      arrival_(http_.received_at),
      trace_(context, arrival_),
      timer_(context.loop),
      open_requests_(context.open_requests) {
  open_requests_->insert(this);
}

RequestExchange::~RequestExchange() { open_requests_->erase(this); }

auto RequestExchange::Start() -> void {
  session_->OnGone([self = shared_from_this()] { self->OnCallerGone(); });
  auto decoded = context_.dialect.decode_request(http_.head);
  if (decoded) request_ = std::move(*decoded);
  if (session_->ClientHasLeft()) return OnCallerGone();
  if (!decoded) return Refuse(400, "malformed", std::nullopt);
  if (context_.refuses_requests) {
    return Refuse(503, "late_in_stop", ReturnDelay());
  }
  const auto now = MonotonicNow();
  if (context_.catalog) return Begin(now);
  // A process that has just started knows its configuration within a moment.
  deadline_ = now + kConfigurationWait;
  waits_for_ = "configuration";
  Park(Waiting::kConfiguration, deadline_);
}

auto RequestExchange::Begin(Timestamp now) -> void {
  if (!Identify()) return;
  if (CannotFinishBeforeStop(now)) {
    return Refuse(503, "no_time_before_stop", ReturnDelay());
  }
  if (RejectQuarantined(now)) return;
  ArmTimer();
  CountDemand(now);
  if (SpendTokens(now)) Dispatch(now);
}

// Finds route, account and deadline, or answers the request.
auto RequestExchange::Identify() -> bool {
  catalog_ = context_.catalog;
  if (!catalog_) {
    Refuse(503, "not_configured", kReturnWhenConfigured);
    return false;
  }
  route_ = catalog_->FindRoute(request_.host, request_.target);
  if (route_ == nullptr) {
    Refuse(404, "no_route", std::nullopt);
    return false;
  }
  const auto* account =
      request_.api_key ? catalog_->FindAccount(*request_.api_key) : nullptr;
  if (account == nullptr && catalog_->requires_keys &&
      !route_->allows_anonymous) {
    Refuse(401, request_.api_key ? "unknown_key" : "no_key", std::nullopt);
    return false;
  }
  priority_ = route_->priority;
  if (account != nullptr) {
    account_ = account->id;
    priority_ = account->priority.value_or(priority_);
  }
  // A body that is charged to its client's address counts for the account too,
  // whose callers may have many addresses.
  if (!body_->empty() && account != nullptr && http_.memory &&
      !http_.memory->TryAddHolder("account " + account_.Value())) {
    context_.CountRefusal(eventhttp::ClientRefusal::kHolderMemory,
                          account_.Value());
    Refuse(503, "account_memory", ReturnDelay());
    return false;
  }
  const auto max_wait = request_.max_wait.value_or(route_->timeout);
  deadline_ = arrival_ + std::min(max_wait, route_->timeout);
  return true;
}

auto RequestExchange::RejectQuarantined(Timestamp now) -> bool {
  if (trial_) return false;
  const auto* evidence =
      context_.quarantine.FindQuarantined(request_.shared_parts);
  if (evidence == nullptr) return false;
  const bool trial_due =
      context_.runs_trials && context_.quarantine.TrialDue(evidence->part, now);
  if (trial_due) return false;
  RefuseQuarantined(evidence->part, now);
  return true;
}

auto RequestExchange::RefuseQuarantined(const PromptPartId& part, Timestamp now)
    -> void {
  context_.quarantine.RecordRejection(part, now);
  quarantined_part_ = part;
  if (ran_ > 0) return Refuse(502, "quarantined_prompt_part", std::nullopt);
  Refuse(503, "quarantined_prompt_part",
         context_.quarantine.TimeUntilReview(part, now));
}

auto RequestExchange::BeginTrial(Timestamp now) -> void {
  if (trial_) return;
  const auto* evidence =
      context_.quarantine.FindQuarantined(request_.shared_parts);
  if (evidence == nullptr) return;
  trial_ = true;
  context_.log.Write(EventRank::kState, "prompt_part_trial")
      .Add("request", request_.id.Value())
      .Add("prompt_part", evidence->part.Value())
      .Add("trials_before", evidence->trials);
  context_.quarantine.CountTrial(evidence->part, now);
}

auto RequestExchange::CountDemand(Timestamp now) -> void {
  if (request_.model.Empty()) return;
  context_.demand.Count(request_.model,
                        request_.size ? request_.size->Total() : 1, now);
}

// Until service times are known, the requests in flight tell the demand.
auto RequestExchange::CountPoolDemand(Timestamp now) -> void {
  if (pool_ == nullptr || !pool_->scaling) return;
  const auto time =
      context_.service_times.Expected(route_->name, MaxOutputTokens());
  if (time) context_.pool_demand.Count(pool_->id, *time, now);
}

// Draws the request's tokens from its account. Without them the request waits
// or is refused.
auto RequestExchange::SpendTokens(Timestamp now) -> bool {
  const auto* account =
      account_.Empty() ? nullptr : catalog_->FindAccount(account_);
  if (account == nullptr || account->limit.per_second <= 0) return true;
  const auto tokens = serving::RateLimitCharge(request_, account->limit);
  if (context_.granted_tokens.TrySpend(account_, tokens, now)) {
    charged_ = tokens;
    return true;
  }
  const bool starting = now - context_.started_at < kStartTime;
  const auto wait = context_.granted_tokens.ExhaustedFor(account_, tokens, now);
  // What a daemon says of itself as its own hub is not the account's state.
  if (wait && !starting) {
    const auto rate = static_cast<double>(account->limit.per_second);
    const auto needed = FromSeconds(static_cast<double>(tokens) / rate);
    Refuse(429, "over_limit", std::max(*wait, needed));
    return false;
  }
  const bool asked = waiting_ == Waiting::kTokens;
  if (!asked) {
    waits_for_ = "tokens";
    const auto longest =
        starting
            ? Duration(kFirstTokenWait)
            : std::max<Duration>(kLeastTokenWait,
                                 Part(route_->latency_target, kTokenWaitPart));
    Park(Waiting::kTokens, std::min(now + longest, deadline_));
    context_.report_now();
  }
  return false;
}

auto RequestExchange::Park(Waiting reason, Timestamp until) -> void {
  const bool listed = waiting_ != Waiting::kNothing;
  if (reason != waiting_) trace_.Waits(request_.id, waits_for_, until);
  if (reason != waiting_) parked_at_ = MonotonicNow();
  waiting_ = reason;
  waits_until_ = until;
  if (!listed) context_.parked.push_back(shared_from_this());
}

auto RequestExchange::TakeTurn(bool owed, BlockedRequests& blocked,
                               Timestamp now) -> void {
  if (!IsWaiting() || !ticket_) return;
  const auto facts = QueueFacts();
  const bool ends = now >= waits_until_;
  if (!owed && !ends && blocked.Contains(facts, now)) return;
  owed_ = owed;
  Dispatch(now);
  owed_ = false;
  if (!owed && ticket_) blocked.Add(facts, now);
}

auto RequestExchange::Retry(Timestamp now) -> bool {
  if (done_ || waiting_ == Waiting::kNothing) return false;
  if (ticket_) return true;
  if (waiting_ == Waiting::kConfiguration) {
    if (!context_.catalog && now < waits_until_) return true;
    waiting_ = Waiting::kNothing;
    Begin(now);
    // If it waits for something else now, it has been listed anew.
    return false;
  }
  if (waiting_ == Waiting::kTokens) {
    if (SpendTokens(now)) {
      Dispatch(now);
    } else if (!done_ && now >= waits_until_) {
      const auto longest =
          std::min<Timestamp>(parked_at_ + kFirstTokenWait, deadline_);
      if (now < longest &&
          !context_.granted_tokens.AnsweredSince(account_, parked_at_)) {
        waits_until_ = longest;
        return true;
      }
      Refuse(429, "over_limit", kReturnAfter);
    }
  } else {
    Dispatch(now);
  }
  return !done_ && waiting_ != Waiting::kNothing;
}

auto RequestExchange::StateNeed() const -> void {
  if (waiting_ == Waiting::kUpstream && !without_permit_.empty()) {
    context_.permits.AddWaiting(
        awaited_permit_,
        std::max<Duration>(waits_until_ - MonotonicNow(), Duration::zero()));
  }
  if (waiting_ != Waiting::kTokens) return;
  const auto* account = catalog_->FindAccount(account_);
  context_.granted_tokens.AddWaitingDemand(
      account_, serving::RateLimitCharge(request_, account->limit),
      std::max<Duration>(waits_until_ - MonotonicNow(), Duration::zero()));
}

auto RequestExchange::ChoosePool() -> const serving::ServicePool* {
  std::int64_t total = 0;
  for (const auto& part : route_->pools) total += part.weight;
  auto draw = static_cast<std::int64_t>(
      context_.random.Below(static_cast<std::uint64_t>(total)));
  for (const auto& part : route_->pools) {
    draw -= part.weight;
    if (draw < 0) return catalog_->FindPool(part.pool);
  }
  return nullptr;
}

auto RequestExchange::Rank(Timestamp now) -> RankedUpstreams {
  serving::SelectionRequest choice;
  choice.pool = pool_->id;
  serving::PoolCapacity facts;
  facts.queue_fraction = QueuePart(now);
  if (pool_->engine) {
    choice.model = request_.model;
    choice.adapter = request_.adapter;
    facts.kv_tokens = pool_->engine->kv_tokens;
  }
  choice.tokens = request_.size ? request_.size->Total() : 0;
  choice.prefill_tokens = UncachedPromptTokens(request_);
  facts.times = context_.work_times.Expected(pool_->id);
  choice.shared_prefix_hash = request_.shared_prefix_hash;
  choice.zone = context_.settings.zone;
  choice.latency_target = route_->latency_target;
  choice.excluded = tried_;
  if (!choice.model.Empty()) {
    for (const auto& [upstream, model] : context_.unloading) {
      if (model == choice.model) choice.excluded.push_back(upstream);
    }
  }
  return context_.choice.Rank(context_.upstreams, choice, facts,
                              context_.random, now);
}

auto RequestExchange::Admit(const serving::UpstreamView& upstream,
                            Timestamp now) -> bool {
  const auto& id = upstream.record.id;
  if (!context_.permits.TryAcquire(id, now)) {
    without_permit_.push_back(id);
    return false;
  }
  const auto cold_rate = pool_->cold_requests_per_second;
  if (!upstream.IsCold(now) || cold_rate <= 0) return true;
  if (context_.cold_gate.TryAcquire(upstream, cold_rate, now)) return true;
  context_.permits.Return(id);
  return false;
}

auto RequestExchange::Choose(const RankedUpstreams& ranked, Timestamp now)
    -> tl::expected<serving::UpstreamTable::Entry, SelectionFailure> {
  without_permit_.clear();
  if (!ranked) return tl::unexpected(ranked.error());
  // Where upstreams state work factors, the selector compares a few random ones
  // of them already; spreading once more would undo its preference of the zone.
  const bool spreads =
      ordered_ && !context_.upstreams.StatesWorkFactors(pool_->id);
  const auto candidates =
      spreads ? serving::SpreadOverBusy(*ranked, context_.random, now)
              : *ranked;
  for (const auto& candidate : candidates) {
    if (Admit(*candidate.upstream, now)) return candidate.upstream;
  }
  return tl::unexpected(SelectionFailure::kNoneEligible);
}

auto RequestExchange::AwaitsPreferred(const RankedUpstreams& ranked,
                                      Timestamp now) const -> bool {
  if (!ranked || (preference_ends_at_ && now >= *preference_ends_at_)) {
    return false;
  }
  const auto has_permit =
      [&](const serving::UpstreamSelector::Candidate& candidate) {
        return context_.permits.HasPermit(candidate.upstream->record.id);
      };
  const auto& preferred = ranked->front();
  return !has_permit(preferred) &&
         std::any_of(ranked->begin(), ranked->end(), has_permit) &&
         context_.permits.MayBeGranted(preferred.upstream->record.id, now);
}

auto RequestExchange::Dispatch(Timestamp now) -> void {
  if (pool_ == nullptr) {
    pool_ = ChoosePool();
    if (pool_ == nullptr) return Refuse(503, "no_pool", ReturnDelay());
    CountPoolDemand(now);
    ordered_ = catalog_->HasUnequalRoutes(pool_->id);
    if (ordered_) {
      context_.waiting[pool_->id].order.RecordArrival(QueueFacts(), now);
    }
  }
  if (deadline_ - now < kLeastTime) {
    return Refuse(503, "no_time_left", std::nullopt);
  }
  if (ran_ == 0 && CannotFinishBeforeStop(now)) {
    return Refuse(503, "no_time_before_stop", ReturnDelay());
  }
  if (!request_.shared_parts.empty() && context_.catching_up(now)) {
    waits_for_ = "fleet_evidence";
    return Park(Waiting::kFleetEvidence, deadline_);
  }
  if (RejectQuarantined(now)) return;
  if (ArrivesBehindOthers(now)) return AwaitCapacity(now);
  const auto ranked = Rank(now);
  if (AwaitsPreferred(ranked, now)) {
    return ParkForPermit(ranked->front().upstream->record.id, now);
  }
  const auto upstream = Choose(ranked, now);
  if (!upstream) return ParkForUpstream(upstream.error(), now);
  waiting_ = Waiting::kNothing;
  LeaveQueue();
  if (ordered_) {
    context_.waiting[pool_->id].order.RecordStart(QueueFacts(), now);
  }
  BeginTrial(now);
  SendTo(*upstream, now);
}

// Waits a moment for a permit for the preferred upstream, which states a rate.
auto RequestExchange::ParkForPermit(const UpstreamId& preferred, Timestamp now)
    -> void {
  LeaveQueue();
  without_permit_ = {preferred};
  if (!preference_ends_at_) {
    preference_ends_at_ = std::min<Timestamp>(
        now + fleet::UpstreamPermits::kPreferenceWait, deadline_);
  }
  const bool asks = AwaitPermit(now);
  waits_for_ = "upstream_rate";
  Park(Waiting::kUpstream, *preference_ends_at_);
  if (asks) context_.report_now();
}

// Waits for an upstream that can take the request, or refuses it when the time
// for that is over.
auto RequestExchange::ParkForUpstream(SelectionFailure reason, Timestamp now)
    -> void {
  if (reason == SelectionFailure::kNoModel && !request_.adapter.Empty() &&
      waiting_ != Waiting::kUpstream) {
    context_.missing_adapters.push_back({request_.model, request_.adapter});
    context_.report_now();
  }
  waits_for_ = ReasonName(reason);
  const bool rate_used_up = !without_permit_.empty();
  if (ordered_ && reason == SelectionFailure::kNoneEligible && !rate_used_up &&
      ran_ == 0) {
    return AwaitCapacity(now);
  }
  LeaveQueue();
  if (rate_used_up) waits_for_ = "upstream_rate_used_up";
  const bool exists = reason == SelectionFailure::kNoneEligible ||
                      reason == SelectionFailure::kPaused;
  const auto part = exists ? kFullWaitPart : kUpstreamWaitPart;
  const auto until = arrival_ + Part(FirstEventPatience(), part);
  if (now < until && !(exists && NoneInTime(until, now))) {
    const bool asks = AwaitPermit(now);
    Park(Waiting::kUpstream, until);
    if (asks) context_.report_now();
    return;
  }
  if (ran_ > 0) return Refuse(502, waits_for_, std::nullopt);
  const auto pause = reason == SelectionFailure::kPaused ? ShortestPause(now)
                                                         : Duration::zero();
  Refuse(503, waits_for_, std::max(ReturnDelay(), pause));
}

auto RequestExchange::QueueFacts() const -> WaitingRequest {
  const auto& engine_wait = context_.engine_wait;
  WaitFacts facts;
  facts.arrival = arrival_;
  facts.deadline = deadline_;
  facts.latency_target = route_->latency_target;
  facts.patience = FirstEventPatience();
  facts.first_event = engine_wait.FirstEvent(route_->name);
  facts.work = engine_wait.SlotTime(route_->name).value_or(Duration::zero());
  auto request = MakeWaitingRequest(facts);
  request.account = account_;
  request.kind = request_.model.Value() + ' ' + request_.adapter.Value();
  request.priority = priority_;
  request.expected_late = expected_late_;
  return request;
}

auto RequestExchange::QueuePart(Timestamp now) const -> double {
  // A request that an upstream did not run has had its turn.
  if (!ordered_ || owed_ || sent_ > 0) return kQueuePart;
  return context_.engine_wait.QueueFraction(
      pool_->id, priority_, QueueFacts().AllowedUpstreamWait(now), kQueuePart);
}

auto RequestExchange::ArrivesBehindOthers(Timestamp now) const -> bool {
  if (!ordered_ || ticket_ || sent_ > 0) return false;
  const auto queue = context_.waiting.find(pool_->id);
  if (queue == context_.waiting.end()) return false;
  return queue->second.order.OthersBefore(QueueFacts(), now);
}

auto RequestExchange::AwaitCapacity(Timestamp now) -> void {
  waits_for_ = ReasonName(SelectionFailure::kNoneEligible);
  const auto facts = QueueFacts();
  if (now >= facts.give_up) {
    return Refuse(503, waits_for_, ReturnDelayInQueue(now));
  }
  if (!ticket_) {
    auto& queue = context_.waiting[pool_->id];
    const auto decision = queue.order.Decide(facts, now);
    const bool refuse = decision == WaitDecision::kRefuse &&
                        !queue.returns.TakeReturn(request_.id, now);
    const char* outcome = "late";
    if (refuse) outcome = "refused";
    if (decision == WaitDecision::kOnTime) outcome = "in_time";
    context_.metrics.Count(
        GatewayCounter::kQueueDecisions,
        pool_->id.Value() + '/' + std::to_string(priority_) + '/' + outcome);
    if (refuse) {
      LogShed(facts, now);
      return Refuse(503, "no_capacity_in_time", ReturnDelayInQueue(now));
    }
    expected_late_ = decision != WaitDecision::kOnTime;
    ticket_ = queue.order.Add(QueueFacts());
    queue.requests.emplace(*ticket_, shared_from_this());
    context_.ServeWaitingSoon();
  }
  Park(Waiting::kUpstream, facts.give_up);
}

auto RequestExchange::ReturnDelayInQueue(Timestamp now) -> Duration {
  if (context_.final_answers_at) return kReturnToAnotherDaemon;
  auto& queue = context_.waiting[pool_->id];
  const auto facts = QueueFacts();
  ReturnSchedule::Refused refused;
  refused.id = request_.id;
  refused.kind = facts.kind;
  refused.work = facts.work;
  refused.backlog = queue.order.ExpectedWait(facts, now);
  refused.work_per_second = queue.order.WorkPerSecond(facts.kind);
  refused.longest = Part(deadline_ - now, kReturnWaitPart);
  return queue.returns.Next(refused, context_.random.Uniform(), now);
}

auto RequestExchange::LogShed(const WaitingRequest& facts, Timestamp now)
    -> void {
  const auto& order = context_.waiting[pool_->id].order;
  const auto wait = order.ExpectedWait(facts, now);
  const auto rate = order.WorkPerSecond(facts.kind);
  context_.log.Write(EventRank::kFailure, "request_shed")
      .Add("request", request_.id.Value())
      .Add("pool", pool_->id.Value())
      .Add("priority", priority_)
      .Add("waiting", static_cast<std::int64_t>(order.Size()))
      .AddMs("expected_wait_ms", wait.value_or(Duration::zero()))
      .AddMs("left_to_target_ms", facts.latest_start - now)
      .AddMs("left_to_refusal_ms", facts.give_up - now)
      .Add("busy_slots", static_cast<std::int64_t>(rate.value_or(0)));
}

auto RequestExchange::LeaveQueue() -> void {
  if (!ticket_) return;
  auto& queue = context_.waiting.at(pool_->id);
  queue.order.Remove(*ticket_);
  queue.requests.erase(*ticket_);
  ticket_.reset();
}

auto RequestExchange::AwaitPermit(Timestamp now) -> bool {
  if (without_permit_.empty()) return false;
  const auto refused = [&](const UpstreamId& upstream) {
    return context_.permits.RefusedSince(upstream, parked_at_, now);
  };
  const auto begin = without_permit_.begin();
  const auto end = without_permit_.end();
  const bool waits = waiting_ == Waiting::kUpstream &&
                     std::find(begin, end, awaited_permit_) != end;
  // A request asks for one permit at a time; of several, the others would be
  // granted in vain.
  if (waits && !refused(awaited_permit_)) return false;
  const auto other = std::find_if_not(begin, end, refused);
  awaited_permit_ = other == end ? *begin : *other;
  return other != end;
}

auto RequestExchange::NoneInTime(Timestamp until, Timestamp now) const -> bool {
  bool exists = false;
  for (const auto& entry : context_.upstreams.InPool(pool_->id)) {
    const auto& id = entry->record.id;
    if (!context_.upstreams.Usable(*entry) ||
        !entry->HasModel(request_.model, request_.adapter) ||
        entry->ModelMissing(request_.model, request_.adapter, now) ||
        std::find(tried_.begin(), tried_.end(), id) != tried_.end()) {
      continue;
    }
    exists = true;
    const auto pause = context_.upstreams.Backpressure().PausedFor(id, now);
    const bool refused = waiting_ == Waiting::kUpstream &&
                         !context_.permits.HasPermit(id) &&
                         context_.permits.RefusedSince(id, parked_at_, now);
    if (now + pause < until && !refused) return false;
  }
  return exists;
}

auto RequestExchange::ShortestPause(Timestamp now) const -> Duration {
  Duration shortest = deadline_ - now;
  for (const auto& entry : context_.upstreams.InPool(pool_->id)) {
    if (!context_.upstreams.Usable(*entry)) continue;
    if (!entry->HasModel(request_.model, request_.adapter)) continue;
    const auto pause =
        context_.upstreams.Backpressure().PausedFor(entry->record.id, now);
    if (pause > Duration::zero()) shortest = std::min(shortest, pause);
  }
  return shortest;
}

// How long the caller waits for the first sign of an answer.
auto RequestExchange::FirstEventPatience() const -> Duration {
  const Duration whole = deadline_ - arrival_;
  if (!Stream()) return whole;
  const auto max_wait = std::max(
      {Duration(kLeastPatience), route_->latency_target * kPatienceGoals,
       route_->inter_event_latency_target * kPatienceGaps});
  return std::min(whole, max_wait);
}

auto RequestExchange::ReturnDelay() const -> Duration {
  return context_.final_answers_at ? kReturnToAnotherDaemon
                                   : Duration(kReturnAfter);
}

auto RequestExchange::MaxOutputTokens() const -> std::int64_t {
  return request_.size ? request_.size->max_output_tokens : 0;
}

auto RequestExchange::CannotFinishBeforeStop(Timestamp now) const -> bool {
  if (!context_.final_answers_at) return false;
  const auto expected =
      context_.service_times.Expected(route_->name, MaxOutputTokens());
  // Nobody knows how long the first requests of a route take.
  const Duration unknown = deadline_ - now;
  const auto longest = expected ? Part(*expected, kLongestService) : unknown;
  return now + longest > *context_.final_answers_at;
}

auto RequestExchange::Repeatable() const -> bool {
  return route_->kind == RequestKind::kIdempotent ||
         (Stream() && route_->resumable);
}

auto RequestExchange::MaxIdle() const -> Duration {
  // The answer to a request without id cannot name it, so it needs a connection
  // that carries no other one.
  if (request_.id.Empty()) return Duration::zero();
  return Repeatable() ? Duration(kMaxIdle) : Duration(kOnceMaxIdle);
}

auto RequestExchange::TakeConnection(const SocketAddress& address)
    -> std::shared_ptr<eventhttp::ClientConnection> {
  // A kept connection may have carried the stream that the caller resumes, to
  // an end that the caller has not got.
  if (request_.last_event_id) {
    return std::make_shared<eventhttp::ClientConnection>(context_.loop,
                                                         address);
  }
  return context_.connections.Acquire(address, MaxIdle(), request_.id);
}

auto RequestExchange::SendTo(const serving::UpstreamTable::Entry& upstream,
                             Timestamp now) -> void {
  if (sent_ == 0) context_.repeats.CountRequest(pool_->id, now);
  // An attempt after one that ran draws on the account's limit again.
  if (ran_ > 0 && charged_ > 0) {
    context_.granted_tokens.SpendBeyondBalance(account_, charged_);
  }
  ++sent_;
  ++ran_;
  tried_.push_back(upstream->record.id);
  const auto tokens = request_.size ? request_.size->Total() : 0;
  trace_.Sent(request_.id, sent_, *upstream, deadline_ - now,
              catalog_->version);
  upstream->requests += 1;
  upstream->tokens += tokens;
  upstream->RecordSent(request_.model, request_.adapter, now);
  AttemptFields fields;
  fields.upstream = upstream->record.id;
  fields.account = account_;
  fields.time_left = deadline_ - now;
  fields.priority = std::clamp(priority_, 0, 9);
  if (answering_) fields.after_event = events_.LastEventId();
  attempt_ = Attempt{};
  attempt_->upstream = upstream;
  attempt_->had_slot =
      upstream->TotalRequests() <=
      kCertainSlotPart * static_cast<double>(upstream->record.slots);
  attempt_->unanswered = true;
  context_.engine_wait.AddUnanswered(pool_->id, priority_, 1);
  attempt_->prefill_tokens = UncachedPromptTokens(request_);
  attempt_->found_slot =
      upstream->ExpectedRequests(now) <=
      static_cast<double>(std::max<std::int64_t>(upstream->record.slots, 1));
  upstream->prefill_tokens += attempt_->prefill_tokens;
  attempt_->prefill_tokens_ahead =
      static_cast<std::int64_t>(upstream->TotalPrefillTokens());
  attempt_->sent_at = now;
  attempt_->events_before = events_.EventCount();
  attempt_->connection = TakeConnection(upstream->record.address);
  eventhttp::ExchangeHandlers handlers;
  handlers.on_head = [self =
                          shared_from_this()](eventhttp::ResponseHead& head) {
    return self->OnHead(head);
  };
  handlers.on_body = [self = shared_from_this()](std::string_view piece) {
    self->OnBody(piece);
  };
  handlers.on_end = [self = shared_from_this()](ExchangeEnd end) {
    self->OnEnd(end);
  };
  ArmTimer();
  attempt_->connection->Exchange(
      context_.dialect.encode_attempt(http_.head, body_->size(), fields),
      std::move(handlers), http_.head.method != "HEAD", body_);
}

auto RequestExchange::ArmTimer() -> void {
  auto wake = deadline_;
  const bool may_switch = attempt_ && !attempt_->head_seen &&
                          route_->kind == RequestKind::kIdempotent &&
                          ran_ < route_->max_upstreams;
  if (may_switch) {
    wake = std::min(wake,
                    attempt_->sent_at + route_->latency_target * kSilenceGoals);
  }
  if (attempt_ && attempt_->discard) {
    wake = std::min<Timestamp>(wake, MonotonicNow() + kMaxDiscardTime);
  }
  timer_.expires_at(wake);
  timer_.async_wait(
      [self = shared_from_this()](boost::system::error_code error) {
        if (!error && !self->done_) self->OnTimer();
      });
}

auto RequestExchange::OnTimer() -> void {
  const auto now = MonotonicNow();
  if (now >= deadline_) {
    if (answering_) {
      DropAttempt();
      session_->Abort();
      return Finish("failed", "deadline_in_stream", 0);
    }
    DropAttempt();
    return Refuse(ran_ > 0 ? 504 : 503, "deadline", std::nullopt);
  }
  if (attempt_ && attempt_->discard) return StopDiscarding();
  if (!attempt_ || attempt_->head_seen) return ArmTimer();
  const auto upstream = attempt_->upstream;
  if (MayRepeat(now)) {
    upstream->RecordFailure(now);
    DropAttempt();
    if (TryAgain("silent", now)) return;
    return Refuse(502, "silent", std::nullopt);
  }
  // Waits for this one to the end.
  timer_.expires_at(deadline_);
  timer_.async_wait(
      [self = shared_from_this()](boost::system::error_code error) {
        if (!error && !self->done_) self->OnTimer();
      });
}

auto RequestExchange::OnHead(eventhttp::ResponseHead& head) -> HeadVerdict {
  const auto answer = context_.dialect.decode_answer(
      head, request_.id, attempt_->upstream->record.id);
  auto& attempt = *attempt_;
  // Without an id, it may be the answer to an earlier request once more.
  const bool uncertain = !answer.names_request && attempt.connection->Reused();
  if (!answer.matches || uncertain) {
    context_.log.Write(EventRank::kFailure, "answer_of_another_request")
        .Add("request", request_.id.Value())
        .Add("upstream", attempt.upstream->record.id.Value());
    return HeadVerdict::kSkip;
  }
  attempt.answer = answer;
  attempt.head_seen = true;
  RecordAnswerPart(MonotonicNow());
  RecordBackpressure(MonotonicNow());
  RecordLoad(MonotonicNow());
  attempt.status = head.status;
  if (answer.not_run) {
    --ran_;
    Discard();
    return HeadVerdict::kAccept;
  }
  if (head.status / 100 == 2 && !answer.has_receipt) {
    return HeadVerdict::kReject;
  }
  const auto now = MonotonicNow();
  // A stream counts when its first event has come.
  if (answer.has_receipt && !Stream()) CountUsage(attempt.sent_at, now);
  const bool failed = head.status >= 500;
  if (failed) {
    attempt.upstream->RecordFailure(now);
    if (MayRepeat(now)) {
      Discard();
      return HeadVerdict::kAccept;
    }
  }
  // Nothing but the rest of the stream may follow what has been passed on.
  if (answering_ && !ContinuesStream(head)) return HeadVerdict::kReject;
  // To the caller this status would promise what the upstream has not said.
  if (PromisesNotRun(head.status)) {
    Discard();
    return HeadVerdict::kAccept;
  }
  AcceptAnswer(head);
  return HeadVerdict::kAccept;
}

auto RequestExchange::ContinuesStream(const eventhttp::ResponseHead& head) const
    -> bool {
  return head.status == 200 &&
         MediaType(FindField(head.fields, "Content-Type")) == stream_type_;
}

auto RequestExchange::Discard() -> void {
  attempt_->discard = true;
  ArmTimer();
}

auto RequestExchange::StopDiscarding() -> void {
  context_.log.Write(EventRank::kFailure, "answer_without_end")
      .Add("request", request_.id.Value())
      .Add("upstream", attempt_->upstream->record.id.Value())
      .Add("bytes", static_cast<std::int64_t>(attempt_->discarded_bytes));
  attempt_->upstream->RecordFailure(MonotonicNow());
  attempt_->connection->Cancel();
  OnAnswerEnd();
}

auto RequestExchange::BeginAnswer(std::optional<std::uint64_t> length) -> void {
  answering_ = true;
  stream_type_ = MediaType(FindField(attempt_->fields, "Content-Type"));
  session_->OnDrained([self = shared_from_this()] {
    if (self->attempt_) self->attempt_->connection->Resume();
  });
  session_->BeginStream(attempt_->status, attempt_->fields, length);
}

auto RequestExchange::AcceptAnswer(const eventhttp::ResponseHead& head)
    -> void {
  auto& attempt = *attempt_;
  attempt.fields = context_.dialect.caller_fields(head);
  // It is complete with its head. A length that it states all the same would
  // make the caller wait for a body, or take the next response for it.
  if (eventhttp::IsBodiless(head.status)) return;
  attempt.length = ContentLength(head.fields);
  attempt.ends_at_close =
      !attempt.length &&
      eventhttp::FindField(head.fields, "Transfer-Encoding") == nullptr;
  const bool stream = Stream() && head.status / 100 == 2;
  const bool large = attempt.length && *attempt.length > kBufferedAnswer;
  if (answering_ || (!stream && !large)) return;
  BeginAnswer(stream ? std::nullopt : attempt.length);
}

auto RequestExchange::OnBody(std::string_view piece) -> void {
  auto& attempt = *attempt_;
  if (attempt.discard) {
    attempt.discarded_bytes += piece.size();
    if (attempt.discarded_bytes > kMaxDiscardedBytes) StopDiscarding();
    return;
  }
  if (!answering_) {
    attempt.body += piece;
    if (attempt.body.size() <= kBufferedAnswer) return;
    // Without a length the answer may have no end, so it is not kept.
    const auto body = std::move(attempt.body);
    BeginAnswer(attempt.length);
    session_->SendPiece(body);
    return;
  }
  if (!Stream()) {
    session_->SendPiece(piece);
  } else {
    const auto whole = events_.Feed(piece);
    if (!whole.empty()) {
      const auto now = MonotonicNow();
      trace_.Passed(now);
      RecordAnswerPart(now);
      if (!attempt.first_event_seen) {
        attempt.first_event_seen = true;
        attempt.first_event_at = now;
        RecordSuccess(now);
        EndPrefill();
        RecordFirstEventTime(now);
        CountUsage(now, now);
      }
    }
    session_->SendPiece(whole);
    if (events_.EventTooLarge() || events_.Malformed()) {
      attempt.connection->Cancel();
      return OnBroken(ExchangeEnd::kProtocolError);
    }
  }
  if (attempt_ && session_->UnsentBytes() > kStreamHighWater) {
    attempt_->connection->Pause();
  }
}

auto RequestExchange::OnEnd(ExchangeEnd end) -> void {
  if (done_ || !attempt_) return;
  if (end == ExchangeEnd::kComplete && !AnswerSettles()) {
    attempt_->connection->RecordUnsettled(request_.id);
  }
  context_.connections.Release(attempt_->connection);
  if (end == ExchangeEnd::kComplete) {
    OnAnswerEnd();
  } else {
    OnBroken(end);
  }
}

auto RequestExchange::StreamEndsEarly() const -> bool {
  if (!Stream() || !answering_) return false;
  // A length or chunks prove that a rest without events is complete; the end of
  // a connection does not.
  const bool unproven = attempt_->ends_at_close && AttemptEvents() == 0;
  return unproven || !events_.PendingBytes().empty();
}

auto RequestExchange::AnswerSettles() const -> bool {
  return !attempt_->discard && attempt_->status / 100 == 2 &&
         !StreamEndsEarly();
}

auto RequestExchange::OnAnswerEnd() -> void {
  const auto now = MonotonicNow();
  const auto status = attempt_->status;
  if (attempt_->discard) {
    const auto not_run = attempt_->answer.not_run;
    const auto* cause = not_run ? "upstream_full" : "upstream_error";
    if (attempt_->answer.wrong_upstream || attempt_->answer.model_missing) {
      cause = RecordMisdirected(now);
    }
    const bool may_repeat = not_run || MayRepeat(now);
    CloseAttempt();
    if (may_repeat && TryAgain(cause, now)) return;
    if (answering_) {
      session_->Abort();
      return Finish("failed", cause, 0);
    }
    if (ran_ > 0) return Refuse(502, cause, std::nullopt);
    return Refuse(503, cause, ReturnDelay());
  }
  if (!Stream() || !answering_) RecordSuccess(now);
  if (answering_) {
    if (StreamEndsEarly()) return OnBroken(ExchangeEnd::kTruncated);
    // A crash may look like the end of an answer that the connection ends.
    if (!attempt_->ends_at_close && attempt_->status / 100 == 2) {
      context_.quarantine.RecordWorking(request_.shared_parts, now);
    }
    ObserveServiceTime(now);
    CloseAttempt();
    session_->EndStream();
    return Finish("ok", "", status);
  }
  if (attempt_->status / 100 == 2) {
    context_.quarantine.RecordWorking(request_.shared_parts, now);
  }
  ObserveServiceTime(now);
  PassWholeAnswer();
}

auto RequestExchange::RecordSuccess(Timestamp now) -> void {
  auto& upstream = *attempt_->upstream;
  upstream.RecordSuccess(now);
  // Another server that has the address may give an error of its own.
  if (attempt_->status / 100 != 2) return;
  upstream.RecordServed(request_.model, request_.adapter);
  context_.upstreams.Backpressure().RecordServed(
      upstream.record.id, upstream.record.started_ms, now);
}

auto RequestExchange::RecordMisdirected(Timestamp now) -> const char* {
  auto& upstream = *attempt_->upstream;
  const auto& answer = attempt_->answer;
  // An upstream without models that misses one may be another one.
  const bool lacks_model =
      !answer.wrong_upstream && pool_->engine && !request_.model.Empty();
  const auto ends_at =
      lacks_model
          ? upstream.RecordModelMissing(request_.model, request_.adapter,
                                        attempt_->sent_at, now)
          : upstream.RecordMisdirected(answer.wrong_upstream, attempt_->sent_at,
                                       now);
  if (!lacks_model) {
    context_.upstreams.Backpressure().RecordMisdirected(
        upstream.record.id, upstream.record.started_ms, now);
  }
  const auto* cause = lacks_model ? "model_missing" : "wrong_upstream";
  if (!ends_at) return cause;
  const auto* reason = lacks_model             ? "model_missing"
                       : answer.wrong_upstream ? "other_instance_named"
                                               : "misdirected";
  context_.metrics.Count(GatewayCounter::kAvoidances, reason);
  context_.log.Write(EventRank::kState, "upstream_avoided")
      .Add("upstream", upstream.record.id.Value())
      .Add("request", request_.id.Value())
      .Add("reason", reason)
      .Add("model", lacks_model ? request_.model.Value() : "")
      .Add("address_taken", upstream.AddressTaken(now) ? 1 : 0)
      .AddMs("ends_in_ms", *ends_at - now);
  return cause;
}

auto RequestExchange::ObserveServiceTime(Timestamp now) -> void {
  if (!Stream()) RecordFirstEventTime(now);
  RecordSlotTime(now);
  // The rest of a resumed stream says nothing about whole ones.
  if (attempt_->status / 100 != 2 || ran_ > 1) return;
  context_.service_times.Observe(route_->name, MaxOutputTokens(),
                                 now - attempt_->sent_at);
  const auto first_event_at =
      attempt_->first_event_seen ? attempt_->first_event_at : now;
  context_.engine_wait.Observe(pool_->id, priority_, route_->name,
                               first_event_at - attempt_->sent_at,
                               attempt_->had_slot, now - first_event_at);
}

auto RequestExchange::PassWholeAnswer() -> void {
  const auto status = attempt_->status;
  const auto fields = std::move(attempt_->fields);
  const auto body = std::move(attempt_->body);
  CloseAttempt();
  trace_.Passed(MonotonicNow());
  session_->Respond(status, fields, body);
  Finish(status / 100 == 2 ? "ok" : "failed",
         status / 100 == 2 ? "" : "upstream_answer", status);
}

auto RequestExchange::OnBroken(ExchangeEnd end) -> void {
  const auto now = MonotonicNow();
  const auto upstream = attempt_->upstream;
  const bool unsent = end == ExchangeEnd::kNotSent;
  const bool suspected = !unsent && RecordBreak(end, now);
  if (unsent) --ran_;
  if (end == ExchangeEnd::kNotSent || end == ExchangeEnd::kNoResponse) {
    const bool known = upstream->Suspected(now);
    upstream->RecordUnreachable(now);
    if (!known && upstream->Suspected(now)) {
      context_.log.Write(EventRank::kState, "upstream_suspected")
          .Add("upstream", upstream->record.id.Value())
          .Add("request", request_.id.Value())
          .Add("cause", unsent ? "no_connection" : "no_response");
    }
  } else {
    upstream->RecordFailure(now);
  }
  CloseAttempt();
  events_.DiscardPending();
  const auto* cause = unsent ? "no_connection" : "upstream_broke_off";
  const bool may_repeat = unsent || (MayRepeat(now) && !suspected);
  if (may_repeat && TryAgain(cause, now)) return;
  if (answering_) {
    session_->Abort();
    return Finish("failed", cause, 0);
  }
  if (ran_ == 0) return Refuse(503, cause, ReturnDelay());
  Refuse(502, cause, std::nullopt);
}

auto RequestExchange::AtBeginning() const -> bool {
  return AttemptEvents() < kWorkingEvents;
}

auto RequestExchange::UpstreamProcess() const -> quarantine::UpstreamProcess {
  const auto& record = attempt_->upstream->record;
  return {record.id, record.started_ms};
}

auto RequestExchange::RecordAnswerPart(Timestamp now) -> void {
  auto& attempt = *attempt_;
  if (context_.quarantine.ReviewsCrashes()) {
    context_.quarantine.RecordAnswer(UpstreamProcess(), attempt.sent_at, now);
  }
  if (attempt.works_on_prompt || AtBeginning()) return;
  attempt.works_on_prompt = true;
  context_.quarantine.RecordWorking(request_.shared_parts, now);
}

auto RequestExchange::RecordBackpressure(Timestamp now) -> void {
  const auto& attempt = *attempt_;
  const auto& record = attempt.upstream->record;
  if (!attempt.answer.ignored_field.empty()) {
    context_.log.Write(EventRank::kFailure, "answer_field_ignored")
        .Add("request", request_.id.Value())
        .Add("upstream", record.id.Value())
        .Add("field", attempt.answer.ignored_field);
  }
  context_.upstreams.Backpressure().RecordAnswer(record.id, record.started_ms,
                                                 attempt.answer.backpressure,
                                                 attempt.sent_at, now);
  context_.UpdateBackpressure(now);
}

auto RequestExchange::RecordLoad(Timestamp now) -> void {
  auto& attempt = *attempt_;
  if (!attempt.answer.ignored_load.empty()) IgnoreLoad(now);
  if (!attempt.answer.load) return;
  const auto& load = *attempt.answer.load;
  context_.metrics.Count(GatewayCounter::kStatedLoads,
                         load.work_factor ? "with_factor" : "without_factor");
  attempt.upstream->RecordStatedLoad(load, now);
  if (!load.work_factor) return;
  attempt.work_factor = *load.work_factor;
  context_.work_factors.Observe(attempt.upstream, *load.work_factor, now);
}

auto RequestExchange::IgnoreLoad(Timestamp now) -> void {
  context_.metrics.Count(GatewayCounter::kStatedLoads, "ignored");
  ++context_.ignored_loads;
  if (now - context_.ignored_load_logged_at < kIgnoredLoadInterval) return;
  context_.ignored_load_logged_at = now;
  context_.log.Write(EventRank::kFailure, "stated_load_ignored")
      .Add("request", request_.id.Value())
      .Add("upstream", attempt_->upstream->record.id.Value())
      .Add("value", attempt_->answer.ignored_load.substr(0, kMaxLoggedValue))
      .Add("ignored", std::exchange(context_.ignored_loads, 0));
}

auto RequestExchange::RecordFirstEventTime(Timestamp now) -> void {
  auto& attempt = *attempt_;
  attempt.answered_at = now;
  // A stream that is continued needs no prefill of its prompt everywhere.
  if (attempt.status / 100 != 2 || !attempt.found_slot || ran_ > 1) return;
  context_.work_times.ObserveFirstEvent(
      pool_->id, attempt.prefill_tokens_ahead,
      FromSeconds(ToSeconds(now - attempt.sent_at) / attempt.work_factor));
}

auto RequestExchange::RecordSlotTime(Timestamp now) -> void {
  const auto& attempt = *attempt_;
  if (attempt.status / 100 != 2 || ran_ > 1) return;
  // When a request that waited for a slot has got one is not known before its
  // first event.
  const auto since =
      attempt.found_slot ? attempt.sent_at : attempt.answered_at.value_or(now);
  if (since == now) return;
  context_.work_times.ObserveSlot(
      pool_->id, FromSeconds(ToSeconds(now - since) / attempt.work_factor));
}

auto RequestExchange::CountUsage(Timestamp began, Timestamp now) -> void {
  if (!context_.usage || std::exchange(usage_counted_, true)) return;
  context_.usage->Count(account_, began, now);
}

auto RequestExchange::RecordBreak(ExchangeEnd end, Timestamp now) -> bool {
  const auto process = UpstreamProcess();
  trace_.BrokenOff(request_,
                   {process.upstream, process.started_ms, attempt_->sent_at,
                    attempt_->status, AttemptEvents()});
  if (end == ExchangeEnd::kProtocolError || !AtBeginning()) return false;
  context_.quarantine.RecordCrash(request_.shared_parts, process,
                                  attempt_->head_seen, now);
  return context_.quarantine.SuspectedElsewhere(request_.shared_parts, process);
}

auto RequestExchange::OnQuarantine(Timestamp now) -> void {
  if (done_ || trial_) return;
  const auto* evidence =
      context_.quarantine.FindQuarantined(request_.shared_parts);
  if (evidence == nullptr) return;
  if (attempt_ && !AtBeginning()) return;
  // Its upstream must not begin to answer it any more.
  if (attempt_) DropAttempt();
  if (!answering_) return RefuseQuarantined(evidence->part, now);
  session_->Abort();
  Finish("failed", "quarantined_prompt_part", 0);
}

auto RequestExchange::MoveFrom(const UpstreamId& id, Timestamp now) -> void {
  if (done_ || !attempt_ || attempt_->discard) return;
  if (attempt_->upstream->record.id != id) return;
  if (!Stream() || !MayRepeat(now) || trial_ || PromptPartQuarantined()) return;
  // Without another upstream the stream goes on until this one is gone.
  const auto ranked = Rank(now);
  if (!ranked || !context_.repeats.TryRetry(pool_->id, now)) return;
  const auto upstream = Choose(ranked, now);
  if (!upstream) return;
  context_.log.Write(EventRank::kState, "stream_moved")
      .Add("request", request_.id.Value())
      .Add("from", id.Value())
      .Add("to", (*upstream)->record.id.Value())
      .Add("after_event", answering_ ? events_.LastEventId().value_or(-1) : -1);
  context_.metrics.Count(GatewayCounter::kRepeats, "upstream_leaving");
  DropAttempt();
  events_.DiscardPending();
  SendTo(*upstream, now);
}

auto RequestExchange::OnCallerGone() -> void {
  if (done_) return;
  const bool at_work = attempt_.has_value();
  DropAttempt();
  Finish("cancelled", at_work ? "caller_left" : "caller_left_waiting", 0);
}

auto RequestExchange::EndPrefill() -> void {
  attempt_->upstream->prefill_tokens -=
      std::exchange(attempt_->prefill_tokens, 0);
  if (std::exchange(attempt_->unanswered, false)) {
    context_.engine_wait.AddUnanswered(pool_->id, priority_, -1);
  }
}

auto RequestExchange::CloseAttempt() -> void {
  if (!attempt_) return;
  EndPrefill();
  const auto tokens = request_.size ? request_.size->Total() : 0;
  attempt_->upstream->requests -= 1;
  attempt_->upstream->tokens -= tokens;
  attempt_.reset();
  context_.ServeWaitingSoon();
}

auto RequestExchange::DropAttempt() -> void {
  if (attempt_) {
    const auto& connection = attempt_->connection;
    // Without a connection the upstream has not got the request.
    if (!connection->Connected()) --ran_;
    connection->Cancel();
  }
  CloseAttempt();
}

auto RequestExchange::MayRepeat(Timestamp now) const -> bool {
  // Another attempt cannot continue an answer that is no stream of events.
  if (answering_ && !Stream()) return false;
  return Repeatable() && ran_ < route_->max_upstreams &&
         deadline_ - now > kLeastTime;
}

// Sends the request to another upstream if the fleet's budget allows it.
auto RequestExchange::TryAgain(const char* cause, Timestamp now) -> bool {
  if (sent_ >= route_->max_upstreams + kMostNotRun) return false;
  if (deadline_ - now < kLeastTime) return false;
  if (ran_ == 0 && CannotFinishBeforeStop(now)) return false;
  if (trial_ || PromptPartQuarantined()) return false;
  if (!context_.repeats.TryRetry(pool_->id, now)) return false;
  const auto upstream = Choose(Rank(now), now);
  context_.log.Write(EventRank::kFailure, "repeat")
      .Add("request", request_.id.Value())
      .Add("cause", cause)
      .Add("from", tried_.back().Value())
      .Add("to", upstream ? (*upstream)->record.id.Value() : "")
      .Add("after_event", answering_ ? events_.LastEventId().value_or(-1) : -1);
  if (!upstream) return false;
  context_.metrics.Count(GatewayCounter::kRepeats, cause);
  SendTo(*upstream, now);
  return true;
}

auto RequestExchange::Refuse(int status, const char* cause,
                             std::optional<Duration> retry_after) -> void {
  if (charged_ > 0 && ran_ <= 0) {
    context_.granted_tokens.Refund(account_, charged_);
  }
  const auto fields = context_.dialect.own_fields(request_.id, retry_after);
  session_->Respond(status, fields, "");
  Finish(ran_ > 0 ? "failed" : "refused", cause, status);
}

auto RequestExchange::Finish(const char* outcome, const char* cause, int status)
    -> void {
  if (done_) return;
  done_ = true;
  waiting_ = Waiting::kNothing;
  LeaveQueue();
  body_ = nullptr;
  http_.memory = nullptr;
  timer_.cancel();
  open_requests_->erase(this);
  session_->OnGone(nullptr);
  session_->OnDrained(nullptr);
  LogEnd(outcome, cause, status);
}

auto RequestExchange::AnswerBeforeStop() -> void {
  if (done_ || answering_) return;
  DropAttempt();
  if (ran_ > 0) return Refuse(502, "process_stopped", std::nullopt);
  Refuse(503, "process_stopped", ReturnDelay());
}

auto RequestExchange::LogProcessStopped() -> void {
  if (!done_) LogEnd("failed", "process_stopped", 0);
}

auto RequestExchange::LogEnd(const char* outcome, const char* cause, int status)
    -> void {
  RequestEnd end{request_};
  end.route = route_;
  end.account = account_;
  end.charged_tokens = charged_;
  if (catalog_) end.config = catalog_->version;
  end.sent = sent_;
  if (!tried_.empty()) end.upstream = tried_.back();
  end.quarantined_part = quarantined_part_;
  end.outcome = outcome;
  end.cause = cause;
  end.status = status;
  trace_.Ended(end);
}

}  // namespace dotterellug::gateway
