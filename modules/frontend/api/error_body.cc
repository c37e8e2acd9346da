#include "frontend/api/error_body.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace dotterellug {
namespace {

auto Body(const Error& error, Ran ran, const RequestId& request)
    -> std::string {
  const nlohmann::json body = {{"error",
                                {{"type", ErrorKindName(error.kind)},
                                 {"message", error.message},
                                 {"remedy", error.remedy},
                                 {"ran", RanName(ran)},
                                 {"request_id", request.Value()}}}};
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto WholeSeconds(Duration duration) -> std::int64_t {
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(duration);
  return std::max<std::int64_t>(1,
                                seconds.count() + (seconds < duration ? 1 : 0));
}

}  // namespace

auto RanName(Ran ran) -> std::string_view {
  switch (ran) {
    case Ran::kNo:
      return "no";
    case Ran::kUnknown:
      return "unknown";
    case Ran::kYes:
      return "yes";
  }
  return "unknown";
}

auto StatusOf(ErrorKind kind) -> int {
  switch (kind) {
    case ErrorKind::kInvalidArgument:
      return 400;
    case ErrorKind::kUnauthenticated:
      return 401;
    case ErrorKind::kForbidden:
      return 403;
    case ErrorKind::kNotFound:
      return 404;
    case ErrorKind::kConflict:
      return 409;
    case ErrorKind::kTooLarge:
      return 413;
    case ErrorKind::kExhausted:
      return 429;
    case ErrorKind::kUnavailable:
      return 503;
    case ErrorKind::kDeadlineExceeded:
      return 504;
    case ErrorKind::kOutcomeUnknown:
    case ErrorKind::kProtocol:
      return 502;
    case ErrorKind::kCompacted:
    case ErrorKind::kInternal:
      return 500;
  }
  return 500;
}

auto ErrorResponse(const Error& error, Ran ran, const RequestId& request,
                   Duration retry_after) -> HttpResponse {
  HttpResponse response;
  response.status = StatusOf(error.kind);
  response.headers = {{"Content-Type", "application/json"},
                      {"X-Request-Id", request.Value()}};
  if (response.status == 429 || response.status == 503) {
    response.headers.push_back(
        {"Retry-After", std::to_string(WholeSeconds(retry_after))});
  }
  response.body = Body(error, ran, request);
  return response;
}

auto ErrorEvent(const Error& error, Ran ran, const RequestId& request)
    -> std::string {
  return "event: error\ndata: " + Body(error, ran, request) + "\n\n";
}

}  // namespace dotterellug
