#include "soak/callers.h"

#include <utility>

#include "platform/standins/platform_documents.h"
#include "platform/standins/upstream_standin.h"

namespace dotterellug::soak {
namespace {

constexpr Seconds kCallLimit = 2;
constexpr Seconds kStreamLimit = 5;
constexpr Seconds kPatientLimit = 15;
// Parts of streams for the patient model, and of requests that open a
// connection although an open one is at hand.
constexpr double kPatientPart = 0.25;
constexpr double kNewConnectionPart = 0.2;
// Part of the streams that have the part at which engines end.
constexpr double kBadPart = 0.06;
// Just below what daemons take, and more than most kernels buffer.
constexpr std::size_t kUploadBytes = 4'150'000;
constexpr const char* kSharedPart = "5c1e07a2";
constexpr std::size_t kSecondParts = 6;
constexpr std::size_t kMostKept = 16;
constexpr std::size_t kKinds = 4;

auto PathOf(CallKind kind) -> std::string {
  switch (kind) {
    case CallKind::kOnce:
      return "/once/x";
    case CallKind::kRepeatable:
      return "/read/x";
    case CallKind::kStream:
      return "/stream/x";
    case CallKind::kStreamOnce:
      return "/single/x";
  }
  return "/";
}

// What a whole answer to the request consists of.
auto Expected(CallKind kind, const std::string& id) -> std::string {
  if (!IsStream(kind)) return platform::UpstreamStandin::Body(id);
  std::string events;
  for (int i = 1; i <= platform::UpstreamStandin::kEvents; ++i) {
    events += platform::UpstreamStandin::Event(id, i);
  }
  return events;
}

auto UploadBody() -> std::shared_ptr<const std::string> {
  static const auto body =
      std::make_shared<const std::string>(kUploadBytes, 'a');
  return body;
}

}  // namespace

struct Callers::Call {
  std::size_t record = 0;
  Connection connection;
  std::string body;
};

Callers::Callers(boost::asio::io_context& loop, Ledger& ledger,
                 std::function<Seconds()> clock, std::uint64_t seed)
    : loop_(loop),
      ledger_(ledger),
      clock_(std::move(clock)),
      random_(seed),
      timer_(loop),
      prefix_("s" + std::to_string(seed) + "-") {}

auto Callers::Start(Duration pause) -> void {
  pause_ = pause;
  kept_.resize(targets.size());
  timer_.expires_after(pause_);
  timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    SendOne();
    Start(pause_);
  });
}

auto Callers::Choose() -> std::optional<std::size_t> {
  const auto first = random_.Below(targets.size());
  for (std::size_t i = 0; i < targets.size(); ++i) {
    const auto index = (first + i) % targets.size();
    if (targets[index].takes_connections || !kept_[index].empty()) return index;
  }
  return std::nullopt;
}

auto Callers::Connect(std::size_t daemon) -> Connection {
  auto& kept = kept_[daemon];
  const bool takes = targets[daemon].takes_connections;
  const bool renews = takes && random_.Uniform() < kNewConnectionPart;
  while (!renews && !kept.empty()) {
    // Any of them, so that some stay idle until their daemon stops.
    std::swap(kept[random_.Below(kept.size())], kept.back());
    const auto connection = std::move(kept.back());
    kept.pop_back();
    if (connection->Reusable()) return connection;
  }
  if (!takes) return nullptr;
  return std::make_shared<eventhttp::ClientConnection>(loop_,
                                                       targets[daemon].address);
}

auto Callers::SendOne() -> void {
  const auto daemon = Choose();
  if (!daemon) return;
  const auto call = std::make_shared<Call>();
  CallRecord facts;
  facts.id = prefix_ + std::to_string(++sent_);
  facts.kind = static_cast<CallKind>(random_.Below(kKinds));
  const auto& key = keys[random_.Below(keys.size())];
  facts.account = key.account;
  facts.key = key.key;
  facts.tokens = 1;
  facts.daemon = *daemon;
  facts.sent_at = clock_();
  const bool stream = IsStream(facts.kind);
  const bool patient =
      facts.kind == CallKind::kStream && random_.Uniform() < kPatientPart;
  facts.time_limit = patient  ? kPatientLimit
                     : stream ? kStreamLimit
                              : kCallLimit;
  call->connection = Connect(*daemon);
  if (!call->connection) return;
  const bool bad =
      stream && !patient && !bad_part.empty() && random_.Uniform() < kBadPart;
  if (bad) facts.bad_part = bad_part;
  facts.shares_prompt = stream && !patient && facts.account == "open";
  call->record = ledger_.calls.size();
  ledger_.calls.push_back(facts);
  eventhttp::ExchangeHandlers handlers;
  handlers.on_head = [this, call](eventhttp::ResponseHead& head) {
    OnHead(*call, head);
    return eventhttp::HeadVerdict::kAccept;
  };
  handlers.on_body = [call](std::string_view piece) { call->body += piece; };
  handlers.on_end = [this, call](eventhttp::ExchangeEnd end) {
    OnEnd(call, end);
  };
  platform::CallerRequest request{facts.id, PathOf(facts.kind), facts.key,
                                  FromSeconds(facts.time_limit), ""};
  if (stream) {
    request.model = models[random_.Below(models.size())];
    request.prompt_parts = {kSharedPart,
                            "ab" + std::to_string(random_.Below(kSecondParts))};
  }
  if (patient) {
    request.path = "/draft/x";
    request.model = patient_model;
  }
  if (bad) request.prompt_parts.push_back(bad_part);
  if (stream) request.prompt_parts.push_back("f" + std::to_string(sent_));
  std::shared_ptr<const std::string> body;
  if (!stream && upload_part > 0 && random_.Uniform() < upload_part) {
    body = UploadBody();
    request.body_bytes = body->size();
  }
  call->connection->Exchange(platform::EncodeCallerRequest(request),
                             std::move(handlers), true, body);
}

auto Callers::OnHead(Call& call, const eventhttp::ResponseHead& head) -> void {
  auto& record = ledger_.calls[call.record];
  record.status = head.status;
  record.has_receipt = platform::HasReceipt(head);
}

auto Callers::OnEnd(const std::shared_ptr<Call>& call,
                    eventhttp::ExchangeEnd end) -> void {
  auto& record = ledger_.calls[call->record];
  record.ended_at = clock_();
  const bool complete = end == eventhttp::ExchangeEnd::kComplete;
  record.looks_complete = complete;
  record.whole = call->body == Expected(record.kind, record.id);
  // A refusal to connect, not an unanswered request.
  record.was_sent = end != eventhttp::ExchangeEnd::kNotSent;
  if (!record.was_sent) record.status = 503;
  auto& kept = kept_[record.daemon];
  if (complete && call->connection->Reusable() && kept.size() < kMostKept) {
    call->connection->WatchIdle([] {});
    kept.push_back(call->connection);
  }
  call->connection.reset();
}

}  // namespace dotterellug::soak
