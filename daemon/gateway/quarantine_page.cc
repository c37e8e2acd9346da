#include "daemon/gateway/quarantine_page.h"

#include <nlohmann/json.hpp>
#include <optional>

#include "core/net/target_reader.h"

namespace dotterellug::gateway {
namespace {

auto Milliseconds(Duration duration) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

auto Describe(const quarantine::PartEvidence& evidence, Duration until_review,
              Timestamp now) -> nlohmann::json {
  auto upstreams = nlohmann::json::array();
  for (const auto& crash : evidence.crashes) {
    upstreams.push_back(crash.process.upstream.Value());
  }
  nlohmann::json part{
      {"prompt_part", evidence.part.Value()},
      {"crashed_upstreams", std::move(upstreams)},
      {"first_crash_age_ms", Milliseconds(now - evidence.crashes.front().at)},
      {"last_crash_age_ms", Milliseconds(now - evidence.crashes.back().at)},
      {"trials", evidence.trials},
      {"review_in_ms", Milliseconds(until_review)}};
  if (evidence.rejected_at) {
    part["last_rejection_age_ms"] = Milliseconds(now - *evidence.rejected_at);
  }
  return part;
}

// What a request asks of this page.
struct PageRequest {
  // Empty for the whole list.
  PromptPartId part;
};

// Nothing if the target is another page's. A part may have any characters,
// since clients choose it: callers percent-encode it.
auto ParsePageRequest(std::string_view text) -> std::optional<PageRequest> {
  const auto target = ParseTarget(text);
  if (!target || "/" + target->segments.front() != kQuarantinePath) {
    return std::nullopt;
  }
  std::string part;
  for (std::size_t i = 1; i < target->segments.size(); ++i) {
    if (i > 1) part += '/';
    part += target->segments[i];
  }
  return PageRequest{PromptPartId(part)};
}

}  // namespace

auto QuarantineJson(const GatewayContext& context, Timestamp now)
    -> std::string {
  auto parts = nlohmann::json::array();
  for (const auto& evidence : context.quarantine.Quarantined()) {
    parts.push_back(Describe(
        evidence, context.quarantine.TimeUntilReview(evidence.part, now), now));
  }
  return parts.dump();
}

auto AnswerQuarantineRequest(
    GatewayContext& context,
    const std::shared_ptr<eventhttp::ServerSession>& session,
    const eventhttp::ServerRequest& request, Timestamp now) -> bool {
  const auto asked = ParsePageRequest(request.head.target);
  if (!asked) return false;
  const eventhttp::HeaderFields json{{"Content-Type", "application/json"}};
  if (asked->part.Empty() && request.head.method == "GET") {
    session->Respond(200, json, QuarantineJson(context, now));
    return true;
  }
  if (asked->part.Empty() || request.head.method != "DELETE") {
    session->Respond(
        400, json,
        R"({"error":"use GET /quarantine or DELETE /quarantine/ID"})");
    return true;
  }
  const auto& part = asked->part;
  if (context.quarantine.FindQuarantined({part}) == nullptr) {
    session->Respond(404, json,
                     R"({"error":"not quarantined; see GET /quarantine"})");
    return true;
  }
  context.quarantine.Release(part, now);
  context.log.Write(EventRank::kState, "prompt_part_release_requested")
      .Add("prompt_part", part.Value());
  context.UpdateQuarantine(now);
  session->Respond(200, json, QuarantineJson(context, now));
  return true;
}

}  // namespace dotterellug::gateway
