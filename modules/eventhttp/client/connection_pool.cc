#include "eventhttp/client/connection_pool.h"

#include <algorithm>

namespace dotterellug::eventhttp {

auto ConnectionPool::Acquire(const SocketAddress& address, Duration max_idle,
                             const RequestId& request)
    -> std::shared_ptr<ClientConnection> {
  const auto now = MonotonicNow();
  auto& kept = idle_[address];
  // The last one was used most recently.
  for (auto i = kept.size(); i-- > 0;) {
    const auto connection = kept[i].connection;
    const auto age = now - kept[i].since;
    const bool usable = connection->Reusable() &&
                        age <= std::min(max_idle, IdleTime(*connection));
    if (usable && !connection->MayCarry(request)) continue;
    kept.erase(kept.begin() + static_cast<std::ptrdiff_t>(i));
    if (usable) return connection;
    connection->Cancel();
  }
  return std::make_shared<ClientConnection>(loop_, address);
}

auto ConnectionPool::Release(
    const std::shared_ptr<ClientConnection>& connection) -> void {
  if (!connection->Reusable()) return connection->Cancel();
  auto& kept = idle_[connection->Address()];
  if (kept.size() >= options_.idle_per_address) {
    kept.front().connection->Cancel();
    kept.erase(kept.begin());
  }
  kept.push_back({connection, MonotonicNow()});
  connection->WatchIdle([this, raw = connection.get()] { Forget(raw); });
}

auto ConnectionPool::Drop(const SocketAddress& address) -> void {
  const auto found = idle_.find(address);
  if (found == idle_.end()) return;
  for (const auto& idle : found->second) idle.connection->Cancel();
  idle_.erase(found);
}

auto ConnectionPool::Sweep(Timestamp now) -> void {
  for (auto& [address, kept] : idle_) {
    const auto expired = [&](const Idle& idle) {
      if (now - idle.since <= IdleTime(*idle.connection)) return false;
      idle.connection->Cancel();
      return true;
    };
    kept.erase(std::remove_if(kept.begin(), kept.end(), expired), kept.end());
  }
}

auto ConnectionPool::IdleTime(const ClientConnection& connection) const
    -> Duration {
  const auto stated = connection.ServerIdleTimeout();
  if (!stated) return options_.idle_time;
  return FromSeconds(ToSeconds(*stated) * options_.part_of_server_timeout);
}

auto ConnectionPool::Forget(const ClientConnection* connection) -> void {
  const auto found = idle_.find(connection->Address());
  if (found == idle_.end()) return;
  auto& kept = found->second;
  kept.erase(std::remove_if(kept.begin(), kept.end(),
                            [&](const Idle& idle) {
                              return idle.connection.get() == connection;
                            }),
             kept.end());
}

}  // namespace dotterellug::eventhttp
