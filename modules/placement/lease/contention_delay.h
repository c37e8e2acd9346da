#pragma once

#include <map>
#include <optional>

#include "core/core.h"

namespace dotterellug {

// How long a daemon waits after the last answer of a hub that holds the order
// lease before it contends for the lease. Instances with more CPU contend
// first, because the holder's work grows with the fleet. The delays of the
// highest-ranked daemons differ enough that usually only one of them writes the
// lease; lower-ranked ones follow later in case all highest-ranked daemons have
// failed. `cpu_cores` has the CPU shares of the registered daemons. Returns
// nullopt if `self` is not among them.
auto ContentionDelay(const InstanceId& self,
                     const std::map<InstanceId, double>& cpu_cores)
    -> std::optional<Duration>;

}  // namespace dotterellug
