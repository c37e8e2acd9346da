#pragma once

#include <ostream>
#include <string>
#include <tuple>

#include "core/ids/ids.h"

namespace dotterellug {

// Identifies an item in engine memory: one version of a model's weights, or an
// adapter for them. `adapter` is empty for the weights themselves.
struct ItemKey {
  ModelId model;
  std::string version;
  AdapterId adapter;

  auto IsAdapter() const -> bool { return !adapter.Empty(); }
  // Key of the weights that an adapter needs; for weights, the key itself.
  auto Base() const -> ItemKey { return {model, version, AdapterId()}; }

  friend auto operator==(const ItemKey& a, const ItemKey& b) -> bool {
    return a.model == b.model && a.version == b.version &&
           a.adapter == b.adapter;
  }
  friend auto operator!=(const ItemKey& a, const ItemKey& b) -> bool {
    return !(a == b);
  }
  friend auto operator<(const ItemKey& a, const ItemKey& b) -> bool {
    return std::tie(a.model, a.version, a.adapter) <
           std::tie(b.model, b.version, b.adapter);
  }
};

}  // namespace dotterellug
