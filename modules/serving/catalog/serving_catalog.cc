#include "serving/catalog/serving_catalog.h"

#include <algorithm>
#include <utility>

namespace dotterellug::serving {

auto ServingCatalog::AddRoute(ServiceRoute route) -> void {
  auto& host = routes_[route.host];
  auto prefix = route.path_prefix;
  host.insert_or_assign(std::move(prefix), std::move(route));
}

auto ServingCatalog::AddPool(ServicePool pool) -> void {
  auto id = pool.id;
  pools_.insert_or_assign(std::move(id), std::move(pool));
}

auto ServingCatalog::AddAccount(const ServiceAccount& account,
                                const std::vector<std::string>& keys) -> void {
  accounts_.insert_or_assign(account.id, account);
  for (const auto& key : keys) keys_.insert_or_assign(key, account.id);
}

auto ServingCatalog::FindRoute(std::string_view host,
                               std::string_view path) const
    -> const ServiceRoute* {
  const auto routes = routes_.find(std::string(host));
  if (routes == routes_.end()) return nullptr;
  path = path.substr(0, path.find('?'));
  // Path prefixes end with a slash, so only substrings that end with one are
  // looked up.
  auto slash = path.rfind('/');
  while (slash != std::string_view::npos) {
    const auto route =
        routes->second.find(std::string(path.substr(0, slash + 1)));
    if (route != routes->second.end()) return &route->second;
    if (slash == 0) return nullptr;
    slash = path.rfind('/', slash - 1);
  }
  return nullptr;
}

auto ServingCatalog::FindAccount(const std::string& key) const
    -> const ServiceAccount* {
  const auto found = keys_.find(key);
  return found == keys_.end() ? nullptr : FindAccount(found->second);
}

auto ServingCatalog::FindAccount(const ClientAccountId& id) const
    -> const ServiceAccount* {
  const auto found = accounts_.find(id);
  return found == accounts_.end() ? nullptr : &found->second;
}

auto ServingCatalog::HasUnequalRoutes(const PoolId& pool) const -> bool {
  const ServiceRoute* first = nullptr;
  for (const auto& [host, prefixes] : routes_) {
    for (const auto& [prefix, route] : prefixes) {
      const auto uses =
          std::any_of(route.pools.begin(), route.pools.end(),
                      [&](const auto& part) { return part.pool == pool; });
      if (!uses) continue;
      if (first == nullptr) first = &route;
      if (route.priority != first->priority ||
          route.latency_target != first->latency_target) {
        return true;
      }
    }
  }
  return false;
}

auto ServingCatalog::FindPool(const PoolId& id) const -> const ServicePool* {
  const auto found = pools_.find(id);
  return found == pools_.end() ? nullptr : &found->second;
}

}  // namespace dotterellug::serving
