#pragma once

#include <string>
#include <variant>

#include "core/errors/error.h"
#include "store/http/http_object_store.h"
#include "store/memory/memory_object_store.h"
#include "store/port/object_record.h"

namespace dotterellug {

// The port to the platform's object API. Checks names and values, then
// delegates to the HTTP adapter or the in-memory store.
//
// Names and prefixes consist of letters, digits and . _ : / -, names have at
// most 512 of them; values are UTF-8 of at most kMaxObjectBytes. Other input
// gives kInvalidArgument or kTooLarge without a call. Every update is
// conditional on the version that the object had.
//
// Reads fail with kUnavailable (also when no answer came in time), kExhausted
// (rate limit) or kProtocol and may be repeated. Updates fail with kConflict
// (not done, the version differs), kUnavailable or kExhausted (not done), or
// kOutcomeUnknown (may be done, now or later: read before repeating). Not
// thread-safe: each thread uses its own, since a watch blocks.
class ObjectStore {
 public:
  explicit ObjectStore(MemoryObjectStore store) : store_(std::move(store)) {}
  explicit ObjectStore(HttpObjectStore store) : store_(std::move(store)) {}

  // The object; kNotFound when there is none.
  auto Get(const std::string& name) -> Result<ObjectRecord>;
  // Writes if the version is `expected` (kAbsent: no such object) and returns
  // the new version.
  auto Put(const std::string& name, const std::string& value,
           ObjectVersion expected) -> Result<ObjectVersion>;
  // Removes the object if its version is `expected`; returns the version of
  // the removal.
  auto Remove(const std::string& name, ObjectVersion expected)
      -> Result<ObjectVersion>;
  // All objects whose name begins with `prefix`, by name.
  auto List(const std::string& prefix) -> Result<ListResult>;
  // The changes under `prefix` after `after`; waits up to `max_wait` for the
  // first. No change in that time is a success without events. kCompacted:
  // list again.
  auto Watch(const std::string& prefix, WatchPosition after, Duration max_wait)
      -> Result<WatchResult>;

 private:
  std::variant<MemoryObjectStore, HttpObjectStore> store_;
};

}  // namespace dotterellug
