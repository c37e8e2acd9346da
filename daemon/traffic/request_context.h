#pragma once

#include <atomic>
#include <cstdint>
#include <string>

#include "core/core.h"
#include "document/document.h"

namespace dotterellug {

// What is known about one caller's request once it has been authenticated.
struct RequestContext {
  RequestId id;
  // Empty on an open route.
  ClientAccountId account;
  KeyId key;
  std::int64_t account_weight = 1;
  PriorityClass priority = PriorityClass::kStandard;
  Timestamp arrival;
  Timestamp deadline;
};

// Names requests uniquely over the fleet: instance, start of the process and
// a counter.
class RequestIdSource {
 public:
  RequestIdSource(const InstanceId& instance, Incarnation incarnation)
      : prefix_(instance.Value() + "-" + std::to_string(incarnation.Value()) +
                "-") {}

  auto Next() -> RequestId {
    return RequestId(prefix_ + std::to_string(++last_));
  }

 private:
  std::string prefix_;
  std::atomic<std::uint64_t> last_{0};
};

// The id of one attempt; its answer must echo it.
inline auto AttemptId(const RequestId& request, int attempt) -> RequestId {
  return RequestId(request.Value() + "." + std::to_string(attempt));
}

}  // namespace dotterellug
