#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <thread>

#include "budget/budget.h"
#include "core/core.h"
#include "daemon/control/take_over_watch.h"
#include "daemon/traffic/budget_gate.h"
#include "document/document.h"
#include "store/store.h"
#include "telemetry/telemetry.h"

namespace dotterellug {

// What this daemon holds of one budget, for `dotterellugctl status`.
struct BudgetStatus {
  BudgetId budget;
  PartsPerMillion share;
  Tokens available;
};

// This daemon's part in the fleet-wide budgets: admission for the traffic
// threads, and the thread that carries out the shard's store calls and sends
// its messages. Thread-safe.
class BudgetService {
 public:
  // Passes a message to another member; false when it certainly was not sent.
  using Send = std::function<auto(const MemberId&, const BudgetMessage&)->void>;

  BudgetService(const MemberId& self, std::unique_ptr<ObjectStore> store,
                Send send, Metrics& metrics);
  BudgetService(const BudgetService&) = delete;
  auto operator=(const BudgetService&) -> BudgetService& = delete;
  ~BudgetService();

  // Takes `amount` of the account's tokens. When the local share is used up,
  // asks other daemons for tokens and waits for them for at most kTransferWait.
  auto Charge(const ClientAccountId& account, Tokens amount,
              Duration& retry_after) -> std::optional<BudgetCharge>;

  auto SetDocument(const ServingSnapshot& snapshot) -> void;
  auto OnMessage(const BudgetMessage& message) -> void;
  // The members that take messages now; decides who takes over a shard without
  // a live owner.
  auto SetLiveMembers(std::set<MemberId> live) -> void;
  auto OnMemberTerminated(const MemberId& member) -> void;
  auto Status() -> std::vector<BudgetStatus>;
  auto IsOwner() -> bool;

 private:
  static constexpr Duration kTransferWait = std::chrono::milliseconds(400);

  auto Run() -> void;
  auto Enqueue(BudgetActions actions) -> void;
  auto CarryOut(const BudgetAction& action) -> void;
  auto Read(const std::string& name) -> void;
  auto Write(const WriteObject& write) -> void;
  auto RetryAfter(const ClientAccountId& account, Tokens amount, Timestamp now)
      -> Duration;

  std::unique_ptr<ObjectStore> store_;
  Send send_;
  Metrics& metrics_;
  MemberId self_;

  std::mutex mutex_;
  std::condition_variable changed_;
  std::condition_variable queued_;
  BudgetShard shard_;
  std::map<ClientAccountId, TokenLimit> limits_;
  TakeOverWatch watch_;
  std::deque<BudgetAction> queue_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace dotterellug
