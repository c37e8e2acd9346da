#include "daemon/control/upstream_monitor.h"

#include <map>
#include <memory>
#include <nlohmann/json.hpp>

#include "core/text/json_depth.h"

namespace dotterellug {
namespace {

constexpr Duration kPollTimeout = std::chrono::milliseconds(500);
// Several times a report of an engine with all its adapters.
constexpr std::size_t kMaxReportBytes = 1UL << 20U;

// More levels than a report has; copies of a deep value exhaust the stack.
constexpr int kMaxDepth = 32;

auto ReadBody(UpstreamExchange& exchange) -> std::optional<std::string> {
  std::string body;
  while (true) {
    auto progress = exchange.Read(kPollTimeout);
    if (!progress) return std::nullopt;
    if (std::holds_alternative<BodyFinished>(*progress)) return body;
    body += std::get<BodyPart>(*progress).bytes;
  }
}

auto ParseReport(const nlohmann::json& json, UpstreamObservation& observation)
    -> void {
  const auto now = MonotonicNow();
  const auto age =
      std::chrono::milliseconds(json.value("age_ms", std::int64_t{0}));
  observation.incarnation =
      Incarnation(json.value("incarnation", std::int64_t{0}));
  if (const auto cold = json.find("cold"); cold != json.end()) {
    observation.cold = cold->get<bool>();
  }
  if (const auto completed = json.find("completed"); completed != json.end()) {
    observation.completed = completed->get<std::int64_t>();
  }
  observation.load.measured_at = now - age;
  observation.sampled_at = observation.asked_at - age;
  observation.load.running_requests = json.value("running", std::int64_t{0});
  observation.load.waiting_requests = json.value("waiting", std::int64_t{0});
  observation.load.waiting_tokens =
      Tokens(json.value("waiting_tokens", std::int64_t{0}));
  observation.load.prefill_tokens_per_ms =
      json.value("prefill_tokens_per_ms", 0.0);
  for (const auto& item : json.value("resident", nlohmann::json::array())) {
    ResidentItem resident;
    resident.key.model = ModelId(item.at("model").get<std::string>());
    resident.key.version = item.at("version").get<std::string>();
    resident.key.adapter = AdapterId(item.value("adapter", ""));
    resident.bytes = Bytes(item.at("bytes").get<std::int64_t>());
    if (resident.key.IsAdapter()) {
      observation.adapters.push_back(resident.key.adapter);
    } else {
      observation.models.push_back(resident.key.model);
    }
    observation.resident.push_back(std::move(resident));
  }
}

}  // namespace

UpstreamMonitor::UpstreamMonitor(Observe observe, Duration interval)
    : observe_(std::move(observe)), interval_(interval) {
  for (std::size_t i = 0; i < kThreads; ++i) {
    threads_.emplace_back([this, i] { Run(i); });
  }
}

UpstreamMonitor::~UpstreamMonitor() {
  stopping_ = true;
  for (auto& thread : threads_) thread.join();
}

auto UpstreamMonitor::SetDocument(const SharedSnapshot& snapshot) -> void {
  snapshot_.Store(snapshot);
}

auto UpstreamMonitor::Run(std::size_t thread) -> void {
  std::map<UpstreamId, std::unique_ptr<UpstreamExchange>> exchanges;
  while (!stopping_) {
    const auto begun = MonotonicNow();
    const auto snapshot = snapshot_.Load();
    std::size_t index = 0;
    if (snapshot) {
      for (const auto& [id, upstream] : snapshot->document.upstreams) {
        if (index++ % kThreads != thread || stopping_) continue;
        auto& exchange = exchanges[id];
        const bool moved =
            exchange && (exchange->Target().host != upstream.host ||
                         exchange->Target().port != upstream.port);
        if (!exchange || moved) {
          exchange = std::make_unique<UpstreamExchange>(
              UpstreamTarget{upstream.host, upstream.port});
        }
        observe_(Poll(*exchange, upstream));
        if (!exchange->Reusable()) exchange.reset();
      }
    }
    const auto rest = interval_ - (MonotonicNow() - begun);
    if (rest > Duration::zero()) std::this_thread::sleep_for(rest);
  }
}

auto UpstreamMonitor::Poll(UpstreamExchange& exchange, const Upstream& upstream)
    -> UpstreamObservation {
  UpstreamObservation observation;
  observation.upstream = upstream.id;
  observation.asked_at = MonotonicNow();
  UpstreamCall call;
  call.target = exchange.Target();
  call.method = "GET";
  call.url = "/report";
  call.attempt = RequestId("poll." + std::to_string(++polls_));
  call.repeatable = true;
  call.max_body_bytes = kMaxReportBytes;
  const auto head = exchange.Begin(call, kPollTimeout);
  if (!head || head->status != 200) return observation;
  const auto body = ReadBody(exchange);
  if (!body) return observation;
  if (JsonDepth(*body) > kMaxDepth) return observation;
  const auto json = nlohmann::json::parse(*body, nullptr, false);
  if (!json.is_object()) return observation;
  try {
    ParseReport(json, observation);
    observation.reachable = true;
  } catch (const nlohmann::json::exception&) {
    // A report with fields of other types counts as none.
    observation = {};
    observation.upstream = upstream.id;
  }
  return observation;
}

}  // namespace dotterellug
