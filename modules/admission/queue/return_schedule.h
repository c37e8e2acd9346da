#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

#include "core/core.h"

namespace dotterellug {

// When callers of refused requests are asked to come back (Retry-After). Each
// gets a time after that of the one before it, so that together they return at
// a part of the rate at which capacity becomes available, and not all at once.
class ReturnSchedule {
 public:
  // A refused request.
  struct Refused {
    RequestId id;
    // As in WaitingRequest.
    std::string kind;
    Duration work{0};
    // Time until what waits before it has started; nullopt if unknown.
    std::optional<Duration> backlog;
    // Work started per second, as WaitingQueue::WorkPerSecond.
    std::optional<double> work_per_second;
    // The longest delay that the caller accepts.
    Duration longest{0};
  };

  // The time after which the caller should come back. `random` is uniform in
  // [0, 1).
  auto Next(const Refused& refused, double random, Timestamp now) -> Duration;
  // Whether the request was asked to come back and does so at about that time.
  // It should not be refused once more while others are served. Callers that
  // return with another id or to another daemon are not recognised.
  auto TakeReturn(const RequestId& id, Timestamp now) -> bool;

 private:
  // The latest time given to a request of each kind.
  std::unordered_map<std::string, Timestamp> last_;
  std::unordered_map<RequestId, Timestamp> expected_;
};

}  // namespace dotterellug
