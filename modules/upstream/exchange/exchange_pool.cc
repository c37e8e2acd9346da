#include "upstream/exchange/exchange_pool.h"

#include <utility>

namespace dotterellug {

ExchangePool::ExchangePool(Duration max_idle, std::size_t max_idle_per_target)
    : max_idle_(max_idle), max_idle_per_target_(max_idle_per_target) {}

auto ExchangePool::Take(const UpstreamTarget& target, bool repeatable,
                        Timestamp now) -> std::unique_ptr<UpstreamExchange> {
  if (repeatable) {
    const std::lock_guard lock(mutex_);
    auto& connections = idle_[target];
    // The last returned connection is the freshest; when it is too old, so
    // are all others.
    if (!connections.empty() && now - connections.back().since > max_idle_) {
      connections.clear();
    }
    if (!connections.empty()) {
      auto exchange = std::move(connections.back().exchange);
      connections.pop_back();
      return exchange;
    }
  }
  return std::make_unique<UpstreamExchange>(target);
}

auto ExchangePool::Return(std::unique_ptr<UpstreamExchange> exchange,
                          Timestamp now) -> void {
  if (!exchange->Reusable()) return;
  const std::lock_guard lock(mutex_);
  auto& connections = idle_[exchange->Target()];
  if (connections.size() >= max_idle_per_target_) return;
  connections.push_back({std::move(exchange), now});
}

}  // namespace dotterellug
