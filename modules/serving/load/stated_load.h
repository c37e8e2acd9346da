#pragma once

#include <cstdint>
#include <optional>

#include "core/core.h"

namespace dotterellug::serving {

// Load of an upstream as one of its responses states it, from all daemons.
struct StatedLoad {
  std::int64_t running = 0;
  std::int64_t waiting = 0;
  // Requests that it runs at a time.
  std::int64_t slots = 1;
  // How long work takes on its machine now, relative to a usual machine; not
  // set if the response does not state it.
  std::optional<double> work_factor;
};

// What one daemon knows of the work factor of an upstream's process, as
// messages carry it.
struct SharedWorkFactor {
  UpstreamId upstream;
  std::int64_t started_ms = 0;
  // The factor that a response stated, and the time since it arrived.
  double current = 1;
  Duration age{0};
  // Not set while too few responses are known.
  std::optional<double> usual;
};

}  // namespace dotterellug::serving
