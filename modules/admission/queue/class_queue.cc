#include "admission/queue/class_queue.h"

#include <algorithm>

namespace dotterellug {

auto ClassQueue::Add(QueueTicket ticket, QueuedRequest request) -> void {
  const auto [found, added] = accounts_.try_emplace(request.account);
  if (added) active_accounts_.push_back(request.account);
  auto& account = found->second;
  account.weight = std::max<std::int64_t>(1, request.account_weight);
  account.tickets.insert(ticket);
  account.queued_tokens += request.cost;
  queued_tokens_ += request.cost;
  tickets_by_latest_start_.emplace(request.LatestStart(), ticket);
  requests_.emplace(ticket, std::move(request));
}

auto ClassQueue::DequeueNext(Timestamp now) -> std::optional<QueuedRequest> {
  while (!active_accounts_.empty()) {
    auto& account = accounts_.at(active_accounts_.front());
    if (!quantum_granted_) {
      account.deficit += Tokens(quantum_.Value() * account.weight);
      quantum_granted_ = true;
    }
    const auto ticket = *account.tickets.begin();
    const auto cost = requests_.at(ticket).cost;
    if (cost <= account.deficit) {
      account.deficit -= cost;
      return StartRequest(ticket, now);
    }
    AdvanceToNextAccount();
  }
  return std::nullopt;
}

auto ClassQueue::DequeueOldest(Timestamp now) -> std::optional<QueuedRequest> {
  if (requests_.empty()) return std::nullopt;
  const auto& [ticket, request] = *requests_.begin();
  accounts_.at(request.account).deficit -= request.cost;
  return StartRequest(ticket, now);
}

auto ClassQueue::Remove(QueueTicket ticket) -> std::optional<QueuedRequest> {
  if (requests_.count(ticket) == 0) return std::nullopt;
  return Extract(ticket);
}

auto ClassQueue::RemoveNewestOf(const ClientAccountId& account)
    -> std::optional<QueuedRequest> {
  const auto found = accounts_.find(account);
  if (found == accounts_.end()) return std::nullopt;
  return Extract(*found->second.tickets.rbegin());
}

auto ClassQueue::RemoveExpired(Timestamp now) -> std::optional<QueuedRequest> {
  if (tickets_by_latest_start_.empty()) return std::nullopt;
  const auto [latest_start, ticket] = *tickets_by_latest_start_.begin();
  if (latest_start >= now) return std::nullopt;
  return Extract(ticket);
}

auto ClassQueue::OldestArrival() const -> std::optional<Timestamp> {
  if (requests_.empty()) return std::nullopt;
  return requests_.begin()->second.arrival;
}

auto ClassQueue::MostBackloggedAccount(const ClientAccountId* arriving_account,
                                       std::int64_t weight) const
    -> ClientAccountId {
  ClientAccountId most_backlogged;
  double max_backlog = -1;
  if (arriving_account != nullptr) {
    most_backlogged = *arriving_account;
    const auto found = accounts_.find(*arriving_account);
    const auto waiting =
        found == accounts_.end() ? 0 : found->second.tickets.size();
    max_backlog =
        static_cast<double>(waiting + 1) / static_cast<double>(weight);
  }
  // Iterates in round robin order rather than hash order, so that identical
  // runs give identical results.
  for (const auto& id : active_accounts_) {
    const auto& account = accounts_.at(id);
    const auto backlog = static_cast<double>(account.tickets.size()) /
                         static_cast<double>(account.weight);
    if (backlog <= max_backlog) continue;
    most_backlogged = id;
    max_backlog = backlog;
  }
  return most_backlogged;
}

auto ClassQueue::QueuedTokensOf(const ClientAccountId& account) const
    -> Tokens {
  const auto found = accounts_.find(account);
  return found == accounts_.end() ? Tokens() : found->second.queued_tokens;
}

auto ClassQueue::WaitAtAccountDrainRate(const ClientAccountId& account) const
    -> Duration {
  const auto found = accounts_.find(account);
  if (found == accounts_.end()) return Duration(0);
  const auto rate = found->second.drain_rate.TokensPerSecond();
  if (!rate) return Duration(0);
  return FromSeconds(static_cast<double>(found->second.queued_tokens.Value()) /
                     *rate);
}

auto ClassQueue::TokensUntilServed(const ClientAccountId& account,
                                   std::int64_t weight, Tokens target) const
    -> double {
  const auto target_tokens = static_cast<double>(target.Value());
  const auto normalized_service = target_tokens / static_cast<double>(weight);
  auto total = target_tokens;
  for (const auto& [id, other] : accounts_) {
    if (id == account) continue;
    total += std::min(static_cast<double>(other.queued_tokens.Value()),
                      normalized_service * static_cast<double>(other.weight));
  }
  return total;
}

auto ClassQueue::StartRequest(QueueTicket ticket, Timestamp now)
    -> QueuedRequest {
  const auto& request = requests_.at(ticket);
  auto& account = accounts_.at(request.account);
  account.drain_rate.RecordStart(request.cost, account.tickets.size() > 1, now);
  return Extract(ticket);
}

auto ClassQueue::Extract(QueueTicket ticket) -> QueuedRequest {
  const auto found = requests_.find(ticket);
  auto request = std::move(found->second);
  requests_.erase(found);
  tickets_by_latest_start_.erase({request.LatestStart(), ticket});
  queued_tokens_ -= request.cost;
  auto& account = accounts_.at(request.account);
  account.queued_tokens -= request.cost;
  account.tickets.erase(ticket);
  if (!account.tickets.empty()) return request;
  // An account without waiting requests forfeits its deficit counter.
  const auto position = std::find(active_accounts_.begin(),
                                  active_accounts_.end(), request.account);
  if (position == active_accounts_.begin()) quantum_granted_ = false;
  active_accounts_.erase(position);
  accounts_.erase(request.account);
  return request;
}

auto ClassQueue::AdvanceToNextAccount() -> void {
  active_accounts_.push_back(active_accounts_.front());
  active_accounts_.pop_front();
  quantum_granted_ = false;
}

}  // namespace dotterellug
