#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "daemon/gateway/gateway_context.h"

namespace dotterellug::gateway {

// Path on the metrics address under which operators see the quarantined prompt
// parts (GET) and release one of them (DELETE, with a slash and the part's id).
inline constexpr std::string_view kQuarantinePath = "/quarantine";

// The quarantined prompt parts as a JSON array: id, upstreams that ended under
// requests with it, trials and ages in milliseconds.
auto QuarantineJson(const GatewayContext& context, Timestamp now)
    -> std::string;

// Answers the request if it is for kQuarantinePath; returns whether it was.
auto AnswerQuarantineRequest(
    GatewayContext& context,
    const std::shared_ptr<eventhttp::ServerSession>& session,
    const eventhttp::ServerRequest& request, Timestamp now) -> bool;

}  // namespace dotterellug::gateway
