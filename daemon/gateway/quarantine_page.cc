#include "daemon/gateway/quarantine_page.h"

#include <nlohmann/json.hpp>

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
  const std::string_view target = request.head.target;
  if (target.substr(0, kQuarantinePath.size()) != kQuarantinePath) return false;
  const auto rest = target.substr(kQuarantinePath.size());
  const eventhttp::HeaderFields json{{"Content-Type", "application/json"}};
  if (rest.empty() && request.head.method == "GET") {
    session->Respond(200, json, QuarantineJson(context, now));
    return true;
  }
  if (rest.size() < 2 || rest.front() != '/' ||
      request.head.method != "DELETE") {
    session->Respond(
        400, json,
        R"({"error":"use GET /quarantine or DELETE /quarantine/ID"})");
    return true;
  }
  const PromptPartId part{std::string(rest.substr(1))};
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
