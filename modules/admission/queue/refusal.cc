#include "admission/queue/refusal.h"

namespace dotterellug {

auto RefusalReasonName(RefusalReason reason) -> std::string_view {
  switch (reason) {
    case RefusalReason::kQueueFull:
      return "queue_full";
    case RefusalReason::kShed:
      return "shed";
    case RefusalReason::kDeadlineUnreachable:
      return "deadline_unreachable";
    case RefusalReason::kDeadlineTooShort:
      return "deadline_too_short";
    case RefusalReason::kExpiredInQueue:
      return "deadline_passed";
  }
  return "queue_full";
}

}  // namespace dotterellug
