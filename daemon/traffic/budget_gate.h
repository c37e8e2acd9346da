#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "core/core.h"

namespace dotterellug {

// What was charged for one request; settle it once with the tokens used.
struct BudgetCharge {
  std::function<auto(std::int64_t used)->void> settle;
};

// Charges an account's fleet-wide token budget; nothing when it is used up.
// `retry_after` is set to the time after which the same charge is expected to
// succeed.
using ChargeBudget =
    std::function<auto(const ClientAccountId&, Tokens, Duration& retry_after)
                      ->std::optional<BudgetCharge>>;

}  // namespace dotterellug
