#pragma once

#include <set>
#include <string>
#include <variant>

#include "core/core.h"
#include "daemon/control/upstream_monitor.h"
#include "document/document.h"
#include "membership/membership.h"
#include "revision/revision.h"

namespace dotterellug {

// The object API answered; an answer proves that `ref` was its latest revision
// at `asked_at`.
struct StoreAnswered {
  Timestamp asked_at;
  std::optional<RevisionRef> ref;
};
struct StoreFailed {};
// A revision was fetched, verified and parsed.
struct RevisionFetched {
  RevisionRef ref;
  ServingDocument document;
};
// A revision that is in force elsewhere could not be parsed here.
struct RevisionRejected {
  RevisionRef ref;
  std::string fault;
};
struct InstanceListRead {
  Timestamp asked_at;
  // Entries with an address, which are the daemons.
  std::vector<ListedInstance> daemons;
  // All instances that leave, upstreams among them.
  std::set<InstanceId> leaving;
};
// Another daemon's proof that this revision was current at that time.
struct PeerProof {
  RevisionNumber revision;
  Timestamp proved_at;
};

struct LiveDaemons {
  std::set<InstanceId> daemons;
};

using ControlEvent =
    std::variant<UpstreamObservation, StoreAnswered, StoreFailed,
                 RevisionFetched, RevisionRejected, InstanceListRead, PeerProof,
                 LiveDaemons>;

}  // namespace dotterellug
