#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "store/faults/fault_table.h"
#include "store/memory/object_table.h"

namespace dotterellug {

// The state behind MemoryObjectStore, shared by all its clients, with the
// controls that tests use. All members may be called from any thread.
class MemoryObjectBackend {
 public:
  auto AddFault(FaultRule rule) -> void;
  auto ClearFaults() -> void;
  auto Compact() -> void;
  // Lets the writes that a kLate fault holds back take effect, in order.
  auto DeliverLate() -> void;
  auto Counts() const -> CallCounts;

 private:
  friend class MemoryObjectStore;
  struct LateWrite {
    OperationKind operation;
    std::string name;
    std::string value;
    ObjectVersion expected;
  };

  auto Begin(OperationKind operation, const std::string& name) -> FaultAction;
  auto Apply(const LateWrite& write) -> Result<ObjectVersion>;

  mutable std::mutex mutex_;
  ObjectTable table_;
  FaultTable faults_;
  CallCounts counts_;
  std::vector<LateWrite> late_;
};

// One client's connection to a MemoryObjectBackend: the object API without
// sockets, time or threads, for deterministic tests. Use it through
// ObjectStore. Slow faults are compared with `timeout` instead of being waited
// for, and a watch without changes returns at once.
class MemoryObjectStore {
 public:
  // Called before each call takes effect, without any lock; tests use it to
  // interleave clients.
  using BeforeCall = std::function<void()>;

  explicit MemoryObjectStore(std::shared_ptr<MemoryObjectBackend> backend,
                             Duration timeout = std::chrono::seconds(1),
                             BeforeCall before_call = {})
      : backend_(std::move(backend)),
        timeout_(timeout),
        before_call_(std::move(before_call)) {}

  auto Get(const std::string& name) -> Result<ObjectRecord>;
  auto Put(const std::string& name, const std::string& value,
           ObjectVersion expected) -> Result<ObjectVersion>;
  auto Remove(const std::string& name, ObjectVersion expected)
      -> Result<ObjectVersion>;
  auto List(const std::string& prefix) -> Result<ListResult>;
  auto Watch(const std::string& prefix, WatchPosition after, Duration max_wait)
      -> Result<WatchResult>;

 private:
  auto Write(const MemoryObjectBackend::LateWrite& write)
      -> Result<ObjectVersion>;
  // Runs the hook, then locks the backend.
  auto Enter() const -> std::unique_lock<std::mutex>;
  // The failure of a read that `action` prevents; success when it does not.
  auto ReadFault(const FaultAction& action) const -> Result<void>;

  std::shared_ptr<MemoryObjectBackend> backend_;
  Duration timeout_;
  BeforeCall before_call_;
};

}  // namespace dotterellug
