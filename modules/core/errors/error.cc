#include "core/errors/error.h"

namespace dotterellug {

auto ErrorKindName(ErrorKind kind) -> std::string_view {
  switch (kind) {
    case ErrorKind::kInvalidArgument:
      return "invalid_argument";
    case ErrorKind::kNotFound:
      return "not_found";
    case ErrorKind::kConflict:
      return "conflict";
    case ErrorKind::kUnavailable:
      return "unavailable";
    case ErrorKind::kOutcomeUnknown:
      return "outcome_unknown";
    case ErrorKind::kTooLarge:
      return "too_large";
    case ErrorKind::kUnauthenticated:
      return "unauthenticated";
    case ErrorKind::kForbidden:
      return "forbidden";
    case ErrorKind::kExhausted:
      return "exhausted";
    case ErrorKind::kDeadlineExceeded:
      return "deadline_exceeded";
    case ErrorKind::kCompacted:
      return "compacted";
    case ErrorKind::kProtocol:
      return "protocol";
    case ErrorKind::kInternal:
      return "internal";
  }
  return "internal";
}

auto Error::Text() const -> std::string {
  if (remedy.empty()) return message;
  return message + "; " + remedy;
}

}  // namespace dotterellug
