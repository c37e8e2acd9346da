#pragma once

#include <atomic>
#include <functional>
#include <thread>

#include "daemon/control/control_event.h"
#include "store/store.h"

namespace dotterellug {

// Follows the head of the serving document in the object API on a thread of
// its own, because a watch blocks, and fetches each new revision.
class StoreReader {
 public:
  using Send = std::function<auto(ControlEvent)->void>;

  // `open` makes a new connection to the object API; called twice.
  StoreReader(const std::function<auto()->ObjectStore>& open, Send send);
  StoreReader(const StoreReader&) = delete;
  auto operator=(const StoreReader&) -> StoreReader& = delete;
  ~StoreReader();

 private:
  auto Run() -> void;
  auto Fetch(const RevisionRef& ref) -> bool;

  HeadWatch watch_;
  RevisionRepository repository_;
  Send send_;
  std::optional<RevisionRef> wanted_;
  // The last document, so that only changed sections are parsed again.
  std::optional<ParsedDocument> parsed_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace dotterellug
