#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "core/errors/error.h"
#include "spend/usage/usage_record.h"

namespace dotterellug {

// All usage of one day and shard as stored in `usage/<shard>/<day>`. The sums
// and the position of the last report of each daemon are in one object, so one
// conditional write updates both and a replayed report is recognised.
class DayUsage {
 public:
  // Adds a report that follows the reporter's last one; ignores others and
  // returns whether it was added.
  auto Add(const UsageReport& report) -> bool;
  // Sums of disjoint sets of daemons, such as the shards of one day. Positions
  // are combined, so the result must not be used for further Add calls of
  // daemons that reported to both.
  auto Merge(const DayUsage& other) -> void;

  auto Sums() const -> const std::map<UsageKey, Usage>& { return sums_; }
  auto Total() const -> Usage;
  auto TotalOverhead() const -> const Overhead& { return overhead_; }
  // Sequence of the reporter's last report; 0 when it has not reported.
  auto LastOf(const Reporter& reporter) const -> std::int64_t;

  auto Encode() const -> std::string;
  // kProtocol for text that Encode did not write.
  static auto Decode(std::string_view text) -> Result<DayUsage>;

  friend auto operator==(const DayUsage& a, const DayUsage& b) -> bool {
    return a.sums_ == b.sums_ && a.overhead_ == b.overhead_ &&
           a.positions_ == b.positions_;
  }

 private:
  std::map<UsageKey, Usage> sums_;
  Overhead overhead_;
  std::map<Reporter, std::int64_t> positions_;
};

// Name of the object that holds the usage of `day` for `shard`.
auto DayUsageName(const ShardId& shard, DayNumber day) -> std::string;

}  // namespace dotterellug
