#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "admission/queue/drain_rate.h"
#include "admission/queue/queued_request.h"

namespace dotterellug {

// The waiting requests of one priority class. Client accounts take turns by
// deficit round robin in tokens, weighted; within an account the order is that
// of arrival. Used by AdmissionQueue, which enforces the bounds.
class ClassQueue {
 public:
  // `quantum` is the tokens that an account of weight 1 gets per turn.
  explicit ClassQueue(Tokens quantum) : quantum_(quantum) {}

  auto Add(QueueTicket ticket, QueuedRequest request) -> void;
  // Takes the request whose turn it is; nothing when the queue is empty.
  auto DequeueNext(Timestamp now) -> std::optional<QueuedRequest>;
  // Takes the request that has waited longest, out of turn; it is charged to
  // its account.
  auto DequeueOldest(Timestamp now) -> std::optional<QueuedRequest>;
  // Removes a request; nothing when it does not wait here.
  auto Remove(QueueTicket ticket) -> std::optional<QueuedRequest>;
  // Removes the last request of an account.
  auto RemoveNewestOf(const ClientAccountId& account)
      -> std::optional<QueuedRequest>;
  // Removes a request whose latest start is before `now`; nothing when there is
  // none.
  auto RemoveExpired(Timestamp now) -> std::optional<QueuedRequest>;

  auto Size() const -> std::size_t { return requests_.size(); }
  auto QueuedTokens() const -> Tokens { return queued_tokens_; }
  auto OldestArrival() const -> std::optional<Timestamp>;
  // The account with the most requests per weight. One request is added to the
  // count of `arriving`, which also wins ties.
  auto MostBackloggedAccount(const ClientAccountId* arriving_account,
                             std::int64_t weight) const -> ClientAccountId;
  auto QueuedTokensOf(const ClientAccountId& account) const -> Tokens;
  // Time until the account's waiting requests have started at the pace that it
  // had lately, which includes what others send meanwhile; zero while that pace
  // is not known.
  auto WaitAtAccountDrainRate(const ClientAccountId& account) const -> Duration;
  // Tokens of this class that start until the account has started `own` tokens,
  // if the accounts take turns by weight.
  auto TokensUntilServed(const ClientAccountId& account, std::int64_t weight,
                         Tokens target) const -> double;

 private:
  struct AccountQueue {
    std::set<QueueTicket> tickets;
    Tokens queued_tokens;
    Tokens deficit;
    std::int64_t weight = 1;
    DrainRate drain_rate;
  };

  auto StartRequest(QueueTicket ticket, Timestamp now) -> QueuedRequest;
  auto Extract(QueueTicket ticket) -> QueuedRequest;
  auto AdvanceToNextAccount() -> void;

  Tokens quantum_;
  Tokens queued_tokens_;
  std::map<QueueTicket, QueuedRequest> requests_;
  std::set<std::pair<Timestamp, QueueTicket>> tickets_by_latest_start_;
  std::unordered_map<ClientAccountId, AccountQueue> accounts_;
  // Accounts with waiting requests in order of turn; the first has the turn.
  std::deque<ClientAccountId> active_accounts_;
  bool quantum_granted_ = false;
};

}  // namespace dotterellug
