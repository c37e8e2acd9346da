#pragma once

#include <map>
#include <optional>

#include "core/core.h"

namespace dotterellug {

// How long a daemon lets pass without a sign of a holder before it looks at the
// lease. Larger instances come first, as the work of the holder grows with the
// fleet; the few first ones are apart in time, so that mostly one writes, and
// the others come after them in case they are all gone. `capacities` are the
// processor shares of the registered daemons in cores; nullopt when `self` is
// not among them.
auto ContentionWait(const InstanceId& self,
                    const std::map<InstanceId, double>& capacities)
    -> std::optional<Duration>;

}  // namespace dotterellug
