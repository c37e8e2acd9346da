#include "daemon/control/budget_service.h"

#include <algorithm>

namespace dotterellug {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(500);
// Asked beyond the missing amount at first, so that a steady demand does not
// ask for each request. A giver that has less gives nothing, so later attempts
// ask for the amount alone.
constexpr std::int64_t kTransferRequests = 4;
constexpr Duration kAskAgain = std::chrono::milliseconds(40);

auto BudgetOf(const ClientAccountId& account) -> BudgetId {
  return BudgetId("account/" + account.Value());
}

}  // namespace

BudgetService::BudgetService(const MemberId& self,
                             std::unique_ptr<ObjectStore> store, Send send,
                             Metrics& metrics)
    : store_(std::move(store)),
      send_(std::move(send)),
      metrics_(metrics),
      self_(self),
      shard_(ShardId("budgets"), self),
      watch_(ShardId("budgets"), self) {
  thread_ = std::thread([this] { Run(); });
}

BudgetService::~BudgetService() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  queued_.notify_all();
  thread_.join();
}

auto BudgetService::Charge(const ClientAccountId& account, Tokens amount,
                           Duration& retry_after)
    -> std::optional<BudgetCharge> {
  const auto budget = BudgetOf(account);
  std::unique_lock lock(mutex_);
  const auto until = MonotonicNow() + kTransferWait;
  std::optional<Timestamp> asked_at;
  while (true) {
    const auto now = MonotonicNow();
    if (const auto charge = shard_.Holder().TryCharge(budget, amount, now)) {
      return BudgetCharge{[this, budget, charge = *charge](std::int64_t used) {
        const std::lock_guard settle_lock(mutex_);
        shard_.Holder().CompleteCharge(budget, charge, Tokens(used),
                                       MonotonicNow());
      }};
    }
    if (now >= until) {
      retry_after = RetryAfter(account, amount, now);
      return std::nullopt;
    }
    if (!asked_at || now - *asked_at >= kAskAgain) {
      const auto requests = asked_at ? 1 : kTransferRequests;
      asked_at = now;
      metrics_.Count(Event::kBudgetTransfer);
      Enqueue(
          shard_.RequestTokens(budget, Tokens(amount.Value() * requests), now));
    }
    changed_.wait_until(lock, std::min(until, *asked_at + kAskAgain));
  }
}

auto BudgetService::RetryAfter(const ClientAccountId& account, Tokens amount,
                               Timestamp now) -> Duration {
  const auto limit = limits_.find(account);
  if (limit == limits_.end() || limit->second.per_second.Value() <= 0) {
    return std::chrono::seconds(60);
  }
  const auto available =
      shard_.Holder().Available(BudgetOf(account), now).Value();
  const auto missing = std::max<std::int64_t>(amount.Value() - available, 1);
  return FromSeconds(static_cast<double>(missing) /
                     static_cast<double>(limit->second.per_second.Value()));
}

auto BudgetService::SetDocument(const ServingSnapshot& snapshot) -> void {
  const std::lock_guard lock(mutex_);
  limits_.clear();
  BudgetLimits limits;
  limits.revision = snapshot.revision;
  for (const auto& [id, account] : snapshot.document.accounts) {
    limits_[id] = account.limit;
    limits.entries.push_back({BudgetOf(id), RateLimit{account.limit.per_second,
                                                      account.limit.burst}});
  }
  shard_.SetLimits(limits, MonotonicNow());
}

auto BudgetService::OnMessage(const BudgetMessage& message) -> void {
  {
    const std::lock_guard lock(mutex_);
    Enqueue(shard_.OnMessage(message, MonotonicNow()));
  }
  changed_.notify_all();
}

auto BudgetService::SetLiveMembers(std::set<MemberId> live) -> void {
  const std::lock_guard lock(mutex_);
  live.insert(self_);
  shard_.SetResponsiveMembers(live);
  watch_.SetResponsiveMembers(std::move(live));
}

auto BudgetService::OnMemberTerminated(const MemberId& member) -> void {
  const std::lock_guard lock(mutex_);
  Enqueue(shard_.OnMemberTerminated(member, MonotonicNow()));
}

auto BudgetService::Status() -> std::vector<BudgetStatus> {
  const std::lock_guard lock(mutex_);
  const auto now = MonotonicNow();
  std::vector<BudgetStatus> status;
  for (const auto& [account, limit] : limits_) {
    const auto budget = BudgetOf(account);
    status.push_back({budget, shard_.Holder().Share(budget),
                      shard_.Holder().Available(budget, now)});
  }
  return status;
}

auto BudgetService::IsOwner() -> bool {
  const std::lock_guard lock(mutex_);
  return shard_.Agent().MayAct();
}

// Called with the lock held.
auto BudgetService::Enqueue(BudgetActions actions) -> void {
  if (actions.empty()) return;
  for (auto& action : actions) queue_.push_back(std::move(action));
  queued_.notify_all();
}

auto BudgetService::Run() -> void {
  auto next_tick = MonotonicNow();
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    const auto now = MonotonicNow();
    if (now >= next_tick) {
      next_tick = now + kTick;
      auto actions = shard_.Tick(now);
      if (watch_.MaySkipRead(shard_.Agent(), now)) RemoveReads(&actions);
      Enqueue(std::move(actions));
      if (watch_.ShouldTakeOver(shard_.Agent(), now)) {
        Enqueue(shard_.TakeOver(now));
      }
    }
    if (queue_.empty()) {
      queued_.wait_until(lock, next_tick);
      continue;
    }
    const auto action = std::move(queue_.front());
    queue_.pop_front();
    lock.unlock();
    CarryOut(action);
    lock.lock();
  }
}

auto BudgetService::CarryOut(const BudgetAction& action) -> void {
  std::visit(Overloaded{[this](const ReadObject& read) { Read(read.name); },
                        [this](const WriteObject& write) { Write(write); },
                        [this](const SendBudgetMessage& send) {
                          if (send.to == self_) {
                            OnMessage(send.message);
                          } else {
                            send_(send.to, send.message);
                          }
                        }},
             action);
}

auto BudgetService::Read(const std::string& name) -> void {
  const auto object = ReadOrAbsent(*store_, name);
  if (!object) {
    metrics_.Count(Event::kStoreError);
    return;
  }
  const std::lock_guard lock(mutex_);
  Enqueue(shard_.OnRead(*object, MonotonicNow()));
}

auto BudgetService::Write(const WriteObject& write) -> void {
  const auto written = store_->Put(write.name, write.value, write.expected);
  // A lost conditional update is part of normal operation.
  if (!written && written.error().kind != ErrorKind::kConflict) {
    metrics_.Count(Event::kStoreError);
  }
  const std::lock_guard lock(mutex_);
  Enqueue(shard_.OnWrite(WriteOutcomeOf(written), MonotonicNow()));
}

}  // namespace dotterellug
