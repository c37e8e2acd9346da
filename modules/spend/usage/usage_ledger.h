#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/ids/ids.h"
#include "core/time/time.h"
#include "spend/usage/day_usage.h"
#include "spend/usage/usage_record.h"

namespace dotterellug {

struct DayRead {
  DayNumber day;
  // 0 when the object does not exist.
  ObjectVersion version;
  DayUsage usage;
};

struct DayWritten {
  DayNumber day;
  ObjectVersion version;
};

// The write was rejected, or its outcome is unknown.
struct DayUncertain {
  DayNumber day;
};

using UsageEvent = std::variant<UsageReport, DayRead, DayWritten, DayUncertain>;

struct ReadDay {
  DayNumber day;
};

// Write on condition that the object has `expected` version.
struct WriteDay {
  DayNumber day;
  ObjectVersion expected;
  DayUsage usage;
};

// Tell the process that its report is stored.
struct AcknowledgeReport {
  Reporter reporter;
  std::int64_t sequence = 0;
};

using UsageAction = std::variant<ReadDay, WriteDay, AcknowledgeReport>;

// The usage shard's owner: collects reports and writes each day's object at
// most once per interval. Two owners at once do no harm: the condition on the
// version rejects the later write, and the reports, which are acknowledged only
// once stored, are added to what was read again.
class UsageLedger {
 public:
  explicit UsageLedger(Duration write_interval = std::chrono::seconds(20));

  auto Handle(Timestamp now, const UsageEvent& event) -> void;
  auto Step(Timestamp now) -> std::vector<UsageAction>;

 private:
  struct Day {
    // As stored; absent until read.
    std::optional<DayUsage> stored;
    ObjectVersion version;
    bool store_call = false;
    std::optional<DayUsage> writing;
    std::vector<UsageReport> reports;
    Timestamp next_write;
  };

  static auto AddReport(Day& day, const UsageReport& report) -> void;
  auto StepDay(Timestamp now, DayNumber number, Day& day)
      -> std::vector<UsageAction>;
  static auto Stored(Day& day) -> std::vector<UsageAction>;

  Duration write_interval_;
  std::map<DayNumber, Day> days_;
};

}  // namespace dotterellug
