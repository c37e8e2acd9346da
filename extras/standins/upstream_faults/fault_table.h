#pragma once

#include <cstdint>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace dotterellug::standins {

// One fault to be injected at a number of the next requests.
struct Fault {
  // The stand-in defines the kinds it knows.
  std::string kind;
  // Requests still to be hit; -1 for all until the table is replaced.
  std::int64_t remaining = 1;
  // Events of a stream that pass before the fault.
  std::int64_t after_events = 0;
  std::int64_t delay_ms = 0;
};

// Faults of one stand-in, replaced at run time by POST /faults with a JSON
// list such as [{"kind":"truncate","count":2,"after_events":3}].
class FaultTable {
 public:
  // Replaces the table. Returns false when the text is not such a list.
  auto Replace(const std::string& json) -> bool;
  // Takes one use of the first fault of this kind that has any left.
  auto Take(const std::string& kind) -> std::optional<Fault>;
  // Whether a fault of this kind is set, without using it.
  auto Active(const std::string& kind) const -> bool;

 private:
  mutable std::mutex mutex_;
  std::vector<Fault> faults_;
};

}  // namespace dotterellug::standins
