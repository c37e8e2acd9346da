#include "admission/queue/class_queue.h"

#include <algorithm>

namespace dotterellug {

auto ClassQueue::Add(QueueTicket ticket, QueuedRequest request) -> void {
  const auto [found, added] = accounts_.try_emplace(request.account);
  if (added) turns_.push_back(request.account);
  auto& account = found->second;
  account.weight = std::max<std::int64_t>(1, request.account_weight);
  account.tickets.insert(ticket);
  account.queued += request.cost;
  queued_ += request.cost;
  latest_starts_.emplace(request.LatestStart(), ticket);
  requests_.emplace(ticket, std::move(request));
}

auto ClassQueue::TakeNext(Timestamp now) -> std::optional<QueuedRequest> {
  while (!turns_.empty()) {
    auto& account = accounts_.at(turns_.front());
    if (!turn_granted_) {
      account.deficit += Tokens(quantum_.Value() * account.weight);
      turn_granted_ = true;
    }
    const auto ticket = *account.tickets.begin();
    const auto cost = requests_.at(ticket).cost;
    if (cost <= account.deficit) {
      account.deficit -= cost;
      return Start(ticket, now);
    }
    EndTurn();
  }
  return std::nullopt;
}

auto ClassQueue::TakeOldest(Timestamp now) -> std::optional<QueuedRequest> {
  if (requests_.empty()) return std::nullopt;
  const auto& [ticket, request] = *requests_.begin();
  accounts_.at(request.account).deficit -= request.cost;
  return Start(ticket, now);
}

auto ClassQueue::Remove(QueueTicket ticket) -> std::optional<QueuedRequest> {
  if (requests_.count(ticket) == 0) return std::nullopt;
  return Take(ticket);
}

auto ClassQueue::RemoveLastOf(const ClientAccountId& account)
    -> std::optional<QueuedRequest> {
  const auto found = accounts_.find(account);
  if (found == accounts_.end()) return std::nullopt;
  return Take(*found->second.tickets.rbegin());
}

auto ClassQueue::RemoveExpired(Timestamp now) -> std::optional<QueuedRequest> {
  if (latest_starts_.empty()) return std::nullopt;
  const auto [latest_start, ticket] = *latest_starts_.begin();
  if (latest_start >= now) return std::nullopt;
  return Take(ticket);
}

auto ClassQueue::OldestArrival() const -> std::optional<Timestamp> {
  if (requests_.empty()) return std::nullopt;
  return requests_.begin()->second.arrival;
}

auto ClassQueue::LongestAccount(const ClientAccountId* arriving,
                                std::int64_t weight) const -> ClientAccountId {
  ClientAccountId longest;
  double length = -1;
  if (arriving != nullptr) {
    longest = *arriving;
    const auto found = accounts_.find(*arriving);
    const auto waiting =
        found == accounts_.end() ? 0 : found->second.tickets.size();
    length = static_cast<double>(waiting + 1) / static_cast<double>(weight);
  }
  // In order of turn, so that equal runs give equal results.
  for (const auto& id : turns_) {
    const auto& account = accounts_.at(id);
    const auto own = static_cast<double>(account.tickets.size()) /
                     static_cast<double>(account.weight);
    if (own <= length) continue;
    longest = id;
    length = own;
  }
  return longest;
}

auto ClassQueue::QueuedOf(const ClientAccountId& account) const -> Tokens {
  const auto found = accounts_.find(account);
  return found == accounts_.end() ? Tokens() : found->second.queued;
}

auto ClassQueue::WaitAtOwnPace(const ClientAccountId& account) const
    -> Duration {
  const auto found = accounts_.find(account);
  if (found == accounts_.end()) return Duration(0);
  const auto rate = found->second.pace.TokensPerSecond();
  if (!rate) return Duration(0);
  return FromSeconds(static_cast<double>(found->second.queued.Value()) / *rate);
}

auto ClassQueue::TokensUntilServed(const ClientAccountId& account,
                                   std::int64_t weight, Tokens own) const
    -> double {
  const auto own_tokens = static_cast<double>(own.Value());
  const auto own_turns = own_tokens / static_cast<double>(weight);
  auto total = own_tokens;
  for (const auto& [id, other] : accounts_) {
    if (id == account) continue;
    total += std::min(static_cast<double>(other.queued.Value()),
                      own_turns * static_cast<double>(other.weight));
  }
  return total;
}

auto ClassQueue::Start(QueueTicket ticket, Timestamp now) -> QueuedRequest {
  const auto& request = requests_.at(ticket);
  auto& account = accounts_.at(request.account);
  account.pace.Started(request.cost, account.tickets.size() > 1, now);
  return Take(ticket);
}

auto ClassQueue::Take(QueueTicket ticket) -> QueuedRequest {
  const auto found = requests_.find(ticket);
  auto request = std::move(found->second);
  requests_.erase(found);
  latest_starts_.erase({request.LatestStart(), ticket});
  queued_ -= request.cost;
  auto& account = accounts_.at(request.account);
  account.queued -= request.cost;
  account.tickets.erase(ticket);
  if (!account.tickets.empty()) return request;
  // An account that returns later starts without the rest of its turn.
  const auto turn = std::find(turns_.begin(), turns_.end(), request.account);
  if (turn == turns_.begin()) turn_granted_ = false;
  turns_.erase(turn);
  accounts_.erase(request.account);
  return request;
}

auto ClassQueue::EndTurn() -> void {
  turns_.push_back(turns_.front());
  turns_.pop_front();
  turn_granted_ = false;
}

}  // namespace dotterellug
