#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/core.h"

namespace dotterellug::quarantine {

// One process of an upstream. An upstream that restarts may keep its id.
struct UpstreamProcess {
  UpstreamId upstream;
  // Wall clock time of its start in milliseconds, as its record states it; 0 if
  // it states none.
  std::int64_t started_ms = 0;

  friend auto operator==(const UpstreamProcess& a, const UpstreamProcess& b)
      -> bool {
    return a.started_ms == b.started_ms && a.upstream == b.upstream;
  }
  friend auto operator<(const UpstreamProcess& a, const UpstreamProcess& b)
      -> bool {
    if (a.started_ms != b.started_ms) return a.started_ms < b.started_ms;
    return a.upstream < b.upstream;
  }
};

// The end of a process while it began to answer a request.
struct UpstreamCrash {
  UpstreamProcess process;
  // When the first daemon noticed, on the clock of the daemon that keeps this.
  Timestamp at;
  // Whether it had sent a response head for a request with the part.
  bool answer_begun = false;
  // Says nothing against the part: the process answered somebody afterwards, so
  // only connections broke, or the cause of the crash is mended.
  bool refuted = false;
};

// What is known of a prompt part under which upstreams ended.
struct PartEvidence {
  PromptPartId part;
  // Highest index in a prompt. Parts that follow are shared by fewer requests.
  std::int64_t depth = 0;
  // At most one for each process, oldest first.
  std::vector<UpstreamCrash> crashes;
  // When an upstream last was seen to answer it; nothing if none was.
  std::optional<Timestamp> worked_at;
  // When a request with it was last rejected.
  std::optional<Timestamp> rejected_at;
  // Requests that were let through after it had been quarantined, to find out
  // whether it still ends upstreams.
  std::int64_t trials = 0;
};

// The same for messages between daemons, which have different clocks: ages
// instead of times.
struct SharedCrash {
  UpstreamProcess process;
  Duration age{0};
  bool answer_begun = false;
  bool refuted = false;
};
struct SharedEvidence {
  PromptPartId part;
  std::int64_t depth = 0;
  std::vector<SharedCrash> crashes;
  std::optional<Duration> worked_age;
  std::optional<Duration> rejected_age;
  std::int64_t trials = 0;
};

}  // namespace dotterellug::quarantine
