#pragma once

#include <string_view>

#include "core/errors/error.h"
#include "core/ids/ids.h"
#include "core/time/time.h"
#include "frontend/http/http_message.h"

namespace dotterellug {

// Whether a request was executed by an upstream. kNo is used only where that
// is certain.
enum class Ran { kNo, kUnknown, kYes };

// "no", "unknown" or "yes".
auto RanName(Ran ran) -> std::string_view;

// HTTP status for an error kind.
auto StatusOf(ErrorKind kind) -> int;

// The typed JSON error of the callers' interface. `retry_after` is sent with
// status 429 and 503, rounded up to whole seconds.
auto ErrorResponse(const Error& error, Ran ran, const RequestId& request,
                   Duration retry_after) -> HttpResponse;

// The same error as an event of a stream that has begun.
auto ErrorEvent(const Error& error, Ran ran, const RequestId& request)
    -> std::string;

}  // namespace dotterellug
