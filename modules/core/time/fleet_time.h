#pragma once

#include <chrono>

#include "core/time/time.h"

namespace dotterellug {

// Time since the start of 1970 in UTC, as the daemons of a fleet agree on it
// although the wall clocks of single machines are off.
using FleetTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

}  // namespace dotterellug
