#pragma once

#include <map>
#include <string>
#include <utility>

#include "admission/queue/waiting_request.h"
#include "core/time/time.h"

namespace dotterellug {

// What did not find capacity while the waiting requests of a pool were tried in
// order, so that requests that would not find any either are not tried. A
// search for an upstream takes time proportional to the size of the pool.
class BlockedRequests {
 public:
  // Whether a request, sent at `now`, would probably find no capacity, or would
  // take what a more urgent one waits for.
  auto Contains(const WaitingRequest& request, Timestamp now) const -> bool;
  // Records a request that found no capacity.
  auto Add(const WaitingRequest& request, Timestamp now) -> void;

 private:
  // Kind and priority.
  using Key = std::pair<std::string, int>;
  struct Tries {
    int count = 0;
    Duration longest_allowed{0};
  };

  std::map<Key, Tries> tries_;
  // The most urgent priority of each kind that found no capacity and can still
  // be in time.
  std::map<std::string, int> most_urgent_;
};

}  // namespace dotterellug
