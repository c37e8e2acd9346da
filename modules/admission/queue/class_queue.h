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

// The waiting requests of one priority class, scheduled between client accounts
// by weighted deficit round robin in tokens, and in order of arrival within an
// account. AdmissionQueue enforces the limits on its length.
class ClassQueue {
 public:
  // `quantum` is the number of tokens added in each round to the deficit
  // counter of an account of weight 1.
  explicit ClassQueue(Tokens quantum) : quantum_(quantum) {}

  // Queues a request under a ticket that is higher than all previous ones.
  auto Add(QueueTicket ticket, QueuedRequest request) -> void;
  // Removes the next request in round robin order; empty if none waits.
  auto DequeueNext(Timestamp now) -> std::optional<QueuedRequest>;
  // Removes the request that has waited longest, regardless of the round robin
  // order, and charges it to its account's deficit counter; empty if none
  // waits.
  auto DequeueOldest(Timestamp now) -> std::optional<QueuedRequest>;
  // Removes a request; empty if it is not in this queue.
  auto Remove(QueueTicket ticket) -> std::optional<QueuedRequest>;
  // Removes the newest request of an account; empty if it has none.
  auto RemoveNewestOf(const ClientAccountId& account)
      -> std::optional<QueuedRequest>;
  // Removes one request whose latest start is before `now`; empty if there is
  // none.
  auto RemoveExpired(Timestamp now) -> std::optional<QueuedRequest>;

  auto Size() const -> std::size_t { return requests_.size(); }
  auto QueuedTokens() const -> Tokens { return queued_tokens_; }
  // The arrival of the request that has waited longest; empty if none waits.
  auto OldestArrival() const -> std::optional<Timestamp>;
  // The account with the most waiting requests divided by its weight. If
  // `arriving_account` is not null, it is treated as if a further request of it
  // with the given weight were already queued, and it wins ties.
  auto MostBackloggedAccount(const ClientAccountId* arriving_account,
                             std::int64_t weight) const -> ClientAccountId;
  // The tokens of the account's waiting requests.
  auto QueuedTokensOf(const ClientAccountId& account) const -> Tokens;
  // The account's queued tokens divided by its drain rate, which reflects the
  // requests that other accounts send in the meantime; zero until that rate has
  // been measured.
  auto WaitAtAccountDrainRate(const ClientAccountId& account) const -> Duration;
  // The number of tokens that this class dispatches under weighted round robin
  // until `target` tokens of an account of `weight` are dispatched; these are
  // included.
  auto TokensUntilServed(const ClientAccountId& account, std::int64_t weight,
                         Tokens target) const -> double;

 private:
  // The state of one account that has waiting requests.
  struct AccountQueue {
    // In order of arrival.
    std::set<QueueTicket> tickets;
    Tokens queued_tokens;
    // Deficit counter: the tokens that the account may still dispatch in this
    // round; negative after DequeueOldest.
    Tokens deficit;
    std::int64_t weight = 1;
    DrainRate drain_rate;
  };

  // Records the start for the account's drain rate and removes the request.
  auto StartRequest(QueueTicket ticket, Timestamp now) -> QueuedRequest;
  // Removes a request that is in the queue, and its account if this was the
  // account's only one.
  auto Extract(QueueTicket ticket) -> QueuedRequest;
  auto AdvanceToNextAccount() -> void;

  Tokens quantum_;
  Tokens queued_tokens_;
  std::map<QueueTicket, QueuedRequest> requests_;
  std::set<std::pair<Timestamp, QueueTicket>> tickets_by_latest_start_;
  std::unordered_map<ClientAccountId, AccountQueue> accounts_;
  // Accounts with waiting requests in round robin order, the current one first.
  std::deque<ClientAccountId> active_accounts_;
  // Whether the current account has received its quantum for this round.
  bool quantum_granted_ = false;
};

}  // namespace dotterellug
