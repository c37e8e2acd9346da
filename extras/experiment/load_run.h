#pragma once

#include <string>
#include <vector>

#include "experiment/workload.h"
#include "upstream/upstream.h"

namespace dotterellug::experiment {

// What one request's caller saw. Times count from the intended arrival, so a
// delay in sending counts against the system.
struct CallResult {
  std::size_t traffic_class = 0;
  Duration at{0};
  int status = 0;
  // The whole response arrived; a stream ended with its end marker.
  bool complete = false;
  // "no", "unknown" or "yes" from an error; empty otherwise.
  std::string ran;
  // Kind of the error; "connection" when the connection broke.
  std::string error;
  Duration first_token{0};
  Duration total{0};
  // Generated tokens received, and tokens of the prompt that was sent.
  std::int64_t tokens = 0;
  std::int64_t prompt_tokens = 0;
};

struct LoadOptions {
  // Where callers connect: the load balancer or daemons, used in turn.
  std::vector<UpstreamTarget> targets;
  std::size_t threads = 256;
  std::uint64_t seed = 1;
  // Called about once a second with the number of finished requests.
  std::function<auto(std::size_t done, std::size_t all)->void> progress;
};

// Sends the planned requests at their times and waits for all responses.
auto RunLoad(const Workload& workload, const LoadOptions& options)
    -> std::vector<CallResult>;

}  // namespace dotterellug::experiment
