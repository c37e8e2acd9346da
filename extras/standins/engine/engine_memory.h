#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "core/ids/ids.h"

namespace dotterellug::standins {

struct LoadedItem {
  std::string version;
  Bytes bytes;
  // Base model of an adapter.
  std::string model;
};

// One command as the engine receives it.
struct EngineCommand {
  std::string id;
  std::int64_t fencing = 0;
  // load_model, unload_model, load_adapter or unload_adapter.
  std::string action;
  std::string name;
  std::string version;
  Bytes bytes;
  // Base model of an adapter.
  std::string model;
};

enum class CommandResult { kApplied, kAlreadyApplied, kStaleFencing, kUnknown };

// Memory account of the engine stand-in. It applies any load, also one that
// does not fit, and records the overcommit: the promise to be proved is that
// no such command is sent.
class EngineMemory {
 public:
  EngineMemory(Bytes capacity, bool checks_fencing)
      : capacity_(capacity), checks_fencing_(checks_fencing) {}

  auto Apply(const EngineCommand& command) -> CommandResult;
  auto HasModel(const std::string& name) const -> bool;
  auto HasAdapter(const std::string& name) const -> bool;
  // Memory of the KV cache of running requests; may be negative on release.
  auto AddCacheBytes(std::int64_t bytes) -> void;

  struct Snapshot {
    Bytes capacity;
    Bytes used;
    Bytes peak;
    std::int64_t overcommits = 0;
    std::int64_t stale_commands = 0;
    std::map<std::string, LoadedItem> models;
    std::map<std::string, LoadedItem> adapters;
  };
  auto Read() const -> Snapshot;
  // Forgets everything that is loaded, as a restart does. Counters stay.
  auto Clear() -> void;

 private:
  auto Account() -> void;

  mutable std::mutex mutex_;
  Bytes capacity_;
  bool checks_fencing_;
  std::int64_t highest_fencing_ = 0;
  Bytes cache_;
  Bytes used_;
  Bytes peak_;
  std::int64_t overcommits_ = 0;
  std::int64_t stale_commands_ = 0;
  std::map<std::string, LoadedItem> models_;
  std::map<std::string, LoadedItem> adapters_;
};

}  // namespace dotterellug::standins
