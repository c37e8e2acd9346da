#include "admission/queue/waiting_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace dotterellug {
namespace {

// Expected waits are multiplied by this, because a request that is refused or
// goes behind on arrival costs less than one that becomes late while it waits.
constexpr double kWaitMargin = 1.1;
// The same for late requests: the capacity that is left for them varies more.
constexpr double kLateWaitMargin = 2;
// Weight of a second of started work in the moving average of the late part.
constexpr double kLatePartWeight = 0.02;
// Work without a known duration, and the least that is accounted for.
constexpr auto kLeastWork = std::chrono::milliseconds(1);
// Time constant of drain rates. Capacity may change by a third within a second,
// and refusals must follow it.
constexpr auto kDrainDecayTime = std::chrono::seconds(2);
// Time constant of arrival rates: long enough for some requests of each class,
// short enough to notice the begin of a burst before many requests are held.
constexpr double kArrivalDecaySeconds = 1;
// Kinds of requests whose drain rate is remembered.
constexpr std::size_t kMostKinds = 4096;
// Time constant with which the work that accounts were served is forgotten. An
// account that was idle goes first for about this long; longer would let it
// displace others with what it did not use before.
constexpr double kServedDecaySeconds = 2;
// The decay is applied in steps of this many seconds, and less work than this
// many seconds is forgotten.
constexpr double kServedStep = 0.05;
constexpr double kForgottenWork = 0.001;
// Levels are owed at most this many seconds of work, so that one that could not
// take its turn for a while does not take many at once.
constexpr double kMostOwed = 10;

auto Seconds(const WaitingRequest& request) -> double {
  return ToSeconds(std::max<Duration>(request.work, kLeastWork));
}

// DrainRate counts work in tokens of a millisecond each.
auto WorkTokens(const WaitingRequest& request) -> Tokens {
  return Tokens(std::llround(Seconds(request) * 1000));
}

// The order of requests of one account and level.
auto ComesBefore(const WaitingRequest& a, const WaitingRequest& b) -> bool {
  return std::tie(a.latest_start, a.work) < std::tie(b.latest_start, b.work);
}

}  // namespace

auto WaitingQueue::ArrivalRate::At(Timestamp now) const -> double {
  return per_second *
         std::exp(-ToSeconds(now - updated_at) / kArrivalDecaySeconds);
}

auto WaitingQueue::ArrivalRate::Add(double work, Timestamp now) -> void {
  per_second = At(now) + work / kArrivalDecaySeconds;
  updated_at = now;
}

auto WaitingQueue::RecordArrival(const WaitingRequest& request, Timestamp now)
    -> void {
  if (arrival_rates_.size() >= kMostKinds) arrival_rates_.clear();
  arrival_rates_[request.kind].Add(Seconds(request), now);
}

auto WaitingQueue::LatePart(const std::string& kind, double work_per_second,
                            Timestamp now) const -> double {
  const auto part = std::max(late_part_, kLeastLateShare);
  const auto arrivals = arrival_rates_.find(kind);
  if (arrivals == arrival_rates_.end()) return part;
  // What does not arrive is left over, as after a short stall.
  return std::max(part, 1 - arrivals->second.At(now) / work_per_second);
}

auto WaitingQueue::Add(const WaitingRequest& request) -> QueueTicket {
  last_ticket_ = last_ticket_.Next();
  requests_.emplace(last_ticket_, request);
  return last_ticket_;
}

auto WaitingQueue::Remove(QueueTicket ticket) -> void {
  requests_.erase(ticket);
}

auto WaitingQueue::CountServed(const WaitingRequest& request, Timestamp now)
    -> void {
  const auto elapsed = ToSeconds(now - served_at_);
  if (elapsed > kServedStep) {
    served_at_ = now;
    const auto factor = std::exp(-elapsed / kServedDecaySeconds);
    for (auto served = served_.begin(); served != served_.end();) {
      served->second *= factor;
      served = served->second < kForgottenWork ? served_.erase(served)
                                               : std::next(served);
    }
  }
  served_[{request.priority, request.account}] += Seconds(request);
}

auto WaitingQueue::RecordStart(const WaitingRequest& request, Timestamp now)
    -> void {
  const auto work = Seconds(request);
  const auto level = LevelOf(request, now);
  const bool others = std::any_of(
      requests_.begin(), requests_.end(),
      [&](const auto& entry) { return entry.second.kind == request.kind; });
  if (others || drain_rates_.count(request.kind) > 0) {
    if (drain_rates_.size() >= kMostKinds) drain_rates_.clear();
    drain_rates_.try_emplace(request.kind, kDrainDecayTime)
        .first->second.RecordStart(WorkTokens(request), others, now);
  }
  const auto weight = std::min(1.0, work * kLatePartWeight);
  late_part_ += weight * ((level.first ? 1.0 : 0.0) - late_part_);
  CountServed(request, now);

  const auto levels = ByLevel(now);
  for (auto owed = owed_.begin(); owed != owed_.end();) {
    owed = levels.count(owed->first) == 0 ? owed_.erase(owed) : std::next(owed);
  }
  for (const auto& [other, entries] : levels) {
    if (other <= level) continue;
    auto& owed = owed_[other];
    owed = std::min(owed + work * LeastShare(other), kMostOwed);
  }
  const auto own = owed_.find(level);
  if (own != owed_.end()) own->second = std::max(0.0, own->second - work);
}

auto WaitingQueue::Order(Timestamp now) const -> std::vector<Turn> {
  const auto levels = ByLevel(now);
  std::vector<Turn> turns;
  turns.reserve(requests_.size() + levels.size());
  std::vector<Turn> in_order;
  in_order.reserve(requests_.size());
  for (const auto& [level, entries] : levels) {
    const auto first = in_order.size();
    AppendLevel(entries, in_order);
    const auto owed = owed_.find(level);
    if (owed == owed_.end()) continue;
    const auto ticket = in_order[first].ticket;
    if (owed->second < Seconds(requests_.at(ticket))) continue;
    turns.push_back({ticket, true});
    in_order.erase(in_order.begin() + static_cast<std::ptrdiff_t>(first));
  }
  turns.insert(turns.end(), in_order.begin(), in_order.end());
  return turns;
}

auto WaitingQueue::ByLevel(Timestamp now) const -> std::map<Level, Entries> {
  std::map<Level, Entries> levels;
  for (const auto& entry : requests_) {
    levels[LevelOf(entry.second, now)].push_back(&entry);
  }
  return levels;
}

auto WaitingQueue::LeastShare(const Level& level) -> double {
  return level.first ? kLeastLateShare : kLeastShare;
}

auto WaitingQueue::ServedWork(const WaitingRequest& request) const -> double {
  const auto served = served_.find({request.priority, request.account});
  return served == served_.end() ? 0 : served->second;
}

auto WaitingQueue::AppendLevel(const Entries& entries,
                               std::vector<Turn>& turns) const -> void {
  std::map<ClientAccountId, Entries> accounts;
  for (const auto* entry : entries) {
    accounts[entry->second.account].push_back(entry);
  }
  // The work with which each request ends if its account is served in turn.
  std::vector<std::tuple<double, Timestamp, QueueTicket>> order;
  order.reserve(entries.size());
  for (auto& [account, own] : accounts) {
    std::stable_sort(own.begin(), own.end(), [](const auto* a, const auto* b) {
      return ComesBefore(a->second, b->second);
    });
    auto served = accounts.size() == 1 ? 0 : ServedWork(own.front()->second);
    for (const auto* entry : own) {
      order.emplace_back(served, entry->second.latest_start, entry->first);
      served += Seconds(entry->second);
    }
  }
  // One account's requests are in order already, whatever their work.
  if (accounts.size() > 1) std::sort(order.begin(), order.end());
  for (const auto& [served, latest_start, ticket] : order) {
    turns.push_back({ticket, false});
  }
}

auto WaitingQueue::WorkAhead(const WaitingRequest& request, const Level& level,
                             Timestamp now) const -> double {
  double ahead = 0;
  double own = 0;
  std::map<ClientAccountId, double> others;
  for (const auto& [ticket, other] : requests_) {
    const auto other_level = LevelOf(other, now);
    if (other_level > level || other.kind != request.kind) continue;
    if (other_level < level) {
      ahead += Seconds(other);
    } else if (other.account == request.account) {
      if (!ComesBefore(request, other)) own += Seconds(other);
    } else {
      others[other.account] += Seconds(other);
    }
  }
  // Other accounts start as much as brings them up to what this one has been
  // served when the request starts.
  const auto served = ServedWork(request);
  for (const auto& [account, work] : others) {
    WaitingRequest other = request;
    other.account = account;
    const auto gap = std::max(0.0, served - ServedWork(other));
    ahead += std::min(work, own + Seconds(request) + gap);
  }
  return ahead + own;
}

auto WaitingQueue::ExpectedWait(const WaitingRequest& request,
                                Timestamp now) const
    -> std::optional<Duration> {
  const auto rate = WorkPerSecond(request.kind);
  if (!rate) return std::nullopt;
  return FromSeconds(WorkAhead(request, LevelOf(request, now), now) / *rate);
}

auto WaitingQueue::Decide(const WaitingRequest& request, Timestamp now) const
    -> WaitDecision {
  const bool late = request.Late(now);
  const auto rate = WorkPerSecond(request.kind);
  if (!rate) return late ? WaitDecision::kLate : WaitDecision::kOnTime;
  if (!late) {
    const auto wait = WorkAhead(request, {false, request.priority}, now);
    if (!request.Late(now + FromSeconds(kWaitMargin * wait / *rate) +
                      request.upstream_wait)) {
      return WaitDecision::kOnTime;
    }
  }
  // Requests that can meet their target keep arriving and go first, so late
  // ones get the part of the capacity that they got lately.
  double ahead = 0;
  for (const auto& [ticket, other] : requests_) {
    const Level own{true, request.priority};
    if (other.kind != request.kind) continue;
    if (other.Late(now) && LevelOf(other, now) <= own) ahead += Seconds(other);
  }
  const auto late_rate = *rate * LatePart(request.kind, *rate, now);
  const auto start = now + FromSeconds(kLateWaitMargin *
                                       (ahead + Seconds(request)) / late_rate);
  return start > request.give_up ? WaitDecision::kRefuse : WaitDecision::kLate;
}

auto WaitingQueue::OthersBefore(const WaitingRequest& request,
                                Timestamp now) const -> bool {
  return WorkAhead(request, LevelOf(request, now), now) > 0;
}

auto WaitingQueue::WorkPerSecond(const std::string& kind) const
    -> std::optional<double> {
  const auto found = drain_rates_.find(kind);
  if (found == drain_rates_.end()) return std::nullopt;
  const auto rate = found->second.TokensPerSecond();
  if (!rate) return std::nullopt;
  return *rate / 1000;
}

auto WaitingQueue::WaitingWork() const -> Duration {
  Duration work{0};
  for (const auto& [ticket, request] : requests_) work += request.work;
  return work;
}

}  // namespace dotterellug
