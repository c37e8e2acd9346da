#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "core/ids/ids.h"

namespace dotterellug {

// Microseconds of one accelerator.
using AcceleratorTime = StrongInteger<struct AcceleratorTimeTag>;

// What usage is summed by. `priority_class` is the class's name, since spend
// depends on core only.
struct UsageKey {
  ClientAccountId account;
  ModelId model;
  std::string priority_class;

  friend auto operator==(const UsageKey& a, const UsageKey& b) -> bool {
    return a.account == b.account && a.model == b.model &&
           a.priority_class == b.priority_class;
  }
  friend auto operator<(const UsageKey& a, const UsageKey& b) -> bool {
    return std::tie(a.account, a.model, a.priority_class) <
           std::tie(b.account, b.model, b.priority_class);
  }
};

struct Usage {
  AcceleratorTime busy;
  Tokens prompt_tokens;
  Tokens generated_tokens;
  std::int64_t requests = 0;

  auto operator+=(const Usage& other) -> Usage&;
  friend auto operator==(const Usage& a, const Usage& b) -> bool {
    return a.busy == b.busy && a.prompt_tokens == b.prompt_tokens &&
           a.generated_tokens == b.generated_tokens && a.requests == b.requests;
  }
};

// Accelerator time that serves no account but is paid for.
struct Overhead {
  // Engines that are ready without work.
  AcceleratorTime idle;
  // Engines that load models or ramp up.
  AcceleratorTime cold;

  auto operator+=(const Overhead& other) -> Overhead&;
  friend auto operator==(const Overhead& a, const Overhead& b) -> bool {
    return a.idle == b.idle && a.cold == b.cold;
  }
};

// Day number since 1970-01-01 in UTC.
using DayNumber = StrongInteger<struct DayNumberTag>;

// One process that reports usage.
struct Reporter {
  InstanceId instance;
  Incarnation incarnation;

  friend auto operator==(const Reporter& a, const Reporter& b) -> bool {
    return a.instance == b.instance && a.incarnation == b.incarnation;
  }
  friend auto operator<(const Reporter& a, const Reporter& b) -> bool {
    return std::tie(a.instance, a.incarnation) <
           std::tie(b.instance, b.incarnation);
  }
};

// What one process used on one day since its previous report of that day. It is
// sent until the owner acknowledges it as stored; the sequence makes
// repetitions harmless.
struct UsageReport {
  Reporter reporter;
  std::int64_t sequence = 0;
  // Sequence of the previous report of the same day, 0 for the first one. A
  // report is added only after that one, so a lost one is not skipped.
  std::int64_t after = 0;
  DayNumber day;
  std::map<UsageKey, Usage> usage;
  Overhead overhead;
};

}  // namespace dotterellug
