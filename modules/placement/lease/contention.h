#pragma once

#include <map>
#include <optional>

#include "core/core.h"

namespace dotterellug {

// How long a daemon waits after the last heartbeat of a lease holder before it
// contends for the order lease. Larger instances contend first, because the
// holder's work grows with the fleet. The delays of the highest-ranked daemons
// differ enough that usually only one of them writes the lease; the others
// follow later in case all of those have failed. `capacities` are the CPU
// shares of the registered daemons in cores. Returns nullopt if `self` is not
// among them.
auto ContentionWait(const InstanceId& self,
                    const std::map<InstanceId, double>& capacities)
    -> std::optional<Duration>;

}  // namespace dotterellug
