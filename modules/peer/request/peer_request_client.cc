#include "peer/request/peer_request_client.h"

#include <algorithm>
#include <utility>

#include "peer/request/json_conversion.h"
#include "peer/request/json_rpc_client.h"
#include "peer/request/request_head.h"
#include "peer/request/rpc_error.h"

namespace dotterellug {

namespace {

// JSON-RPC 2.0: the method does not exist, the parameters are invalid.
constexpr int kMethodNotFound = -32601;
constexpr int kInvalidParameters = -32602;

auto Unknown(const PeerTarget& target, const std::string& reason) -> Error {
  return Error{ErrorKind::kOutcomeUnknown,
               "request to " + target.instance.Value() + " at " +
                   target.address.Text() + ": " + reason,
               "read the state before repeating the request"};
}

auto NotDone(ErrorKind kind, const PeerTarget& target,
             const std::string& reason, std::string remedy) -> Error {
  return Error{kind,
               "request to " + target.instance.Value() + " at " +
                   target.address.Text() + " was not done: " + reason,
               std::move(remedy)};
}

// What an authenticated refusal says. The request did not run, except when it
// may have been refused as the duplicate of itself.
auto RefusalError(const PeerTarget& target, PeerRefusal refusal) -> Error {
  const auto reason = "refused as " + std::string(RefusalName(refusal));
  switch (refusal) {
    case PeerRefusal::kNone:
    case PeerRefusal::kReplay:
      return Unknown(target, reason);
    case PeerRefusal::kBusy:
    case PeerRefusal::kStaleEpoch:
    case PeerRefusal::kReceiverRestarted:
      return NotDone(ErrorKind::kUnavailable, target, reason, "repeat it");
    case PeerRefusal::kWrongReceiver:
      return NotDone(ErrorKind::kUnavailable, target, reason,
                     "wait until the new address of the instance is known");
    case PeerRefusal::kUnknownPeer:
      return NotDone(ErrorKind::kForbidden, target, reason,
                     "wait until the peer sees this instance in the instance "
                     "list");
    case PeerRefusal::kOldIncarnation:
      return NotDone(ErrorKind::kForbidden, target, reason,
                     "stop this process; a newer one runs on its instance");
    case PeerRefusal::kTooLarge:
      return NotDone(ErrorKind::kTooLarge, target, reason, "send less at once");
    case PeerRefusal::kMalformed:
    case PeerRefusal::kBadMac:
      break;
  }
  return NotDone(ErrorKind::kProtocol, target, reason,
                 "check that both daemons have the same version");
}

auto ReplyResult(const PeerTarget& target, const std::string& method,
                 const JsonRpcReply& reply) -> Result<nlohmann::json> {
  switch (reply.kind) {
    case JsonRpcReply::Kind::kResult:
      return FromJsonCpp(reply.result);
    case JsonRpcReply::Kind::kError:
      if (reply.code == kMethodNotFound || reply.code == kInvalidParameters) {
        return tl::unexpected(
            NotDone(ErrorKind::kProtocol, target,
                    "method '" + method + "': " + reply.message,
                    "check that both daemons have the same version"));
      }
      return tl::unexpected(DecodeRpcErrorData(FromJsonCpp(reply.data)));
    case JsonRpcReply::Kind::kNoExchange:
    case JsonRpcReply::Kind::kMalformed:
      break;
  }
  return tl::unexpected(
      Unknown(target, "the response is not valid JSON-RPC: " + reply.message));
}

}  // namespace

// Outcome of sending a request once.
struct PeerRequestClient::Attempt {
  // Set when the response is not the text of a JSON-RPC response.
  std::optional<Error> error;
  PeerRefusal refusal = PeerRefusal::kNone;
  std::string body;
};

PeerRequestClient::PeerRequestClient(PeerRequestClientOptions options,
                                     FleetKey key)
    : options_(std::move(options)), key_(key) {}

auto PeerRequestClient::Call(const PeerTarget& target,
                             const std::string& method,
                             const nlohmann::json& parameters, Duration limit)
    -> Result<nlohmann::json> {
  if (!parameters.is_object()) {
    return tl::unexpected(NotDone(ErrorKind::kInvalidArgument, target,
                                  "the parameters are not a JSON object",
                                  "pass an object"));
  }
  const auto deadline = MonotonicNow() + limit;
  Attempt attempt;
  const auto exchange = [&](const std::string& request, std::string* response) {
    attempt = Try(target, request, deadline);
    // The peer proved that it did not accept the request, and told its epoch.
    if (attempt.refusal == PeerRefusal::kStaleEpoch) {
      attempt = Try(target, request, deadline);
    }
    *response = attempt.body;
    return !attempt.error;
  };
  const auto reply = CallJsonRpc(method, ToJsonCpp(parameters), exchange);
  if (attempt.error) return tl::unexpected(*attempt.error);
  return ReplyResult(target, method, reply);
}

auto PeerRequestClient::Try(const PeerTarget& target, const std::string& body,
                            Timestamp deadline) -> Attempt {
  Attempt attempt;
  if (body.size() > options_.max_body_bytes || !JsonDepthAllowed(body)) {
    attempt.error = NotDone(ErrorKind::kTooLarge, target,
                            "the body has " + std::to_string(body.size()) +
                                " bytes or is nested too deep",
                            "send less at once");
    return attempt;
  }
  const auto left = deadline - MonotonicNow();
  if (left <= Duration::zero()) {
    attempt.error =
        NotDone(ErrorKind::kUnavailable, target,
                "the time limit passed before it was sent", "allow more time");
    return attempt;
  }
  const auto head = EncodeRequestHead(NextHeader(target));
  const auto mac = EncodeMac(key_.Mac(MacPurpose::kRequest, head, body));
  auto connection = TakeConnection(target);
  const auto result = connection->Post(target.address, head, mac, body,
                                       options_.max_body_bytes, left);
  if (result.kind == HttpExchangeResult::Kind::kNotSent) {
    attempt.error = NotDone(ErrorKind::kUnavailable, target, result.failure,
                            "repeat it, or ask another daemon");
    return attempt;
  }
  if (result.kind == HttpExchangeResult::Kind::kInDoubt) {
    attempt.error = Unknown(target, result.failure);
    return attempt;
  }
  const auto response = ParseResponseHead(result.head);
  const auto response_mac = ParseMac(result.mac);
  if (!response || !response_mac ||
      !key_.Verify(*response_mac, MacPurpose::kResponse,
                   ResponseMacHead(result.head, mac), result.body)) {
    attempt.error = Unknown(target,
                            "the response is not authentic; check that both "
                            "daemons have the same fleet key");
    return attempt;
  }
  KeepConnection(target, std::move(connection));
  LearnEpoch(target.instance, response->epoch);
  attempt.refusal = response->refusal;
  if (response->refusal != PeerRefusal::kNone) {
    attempt.error = RefusalError(target, response->refusal);
  } else if (!JsonDepthAllowed(result.body)) {
    attempt.error = Unknown(target, "the response is nested too deep");
  }
  attempt.body = result.body;
  return attempt;
}

auto PeerRequestClient::NextHeader(const PeerTarget& target) -> MessageHeader {
  const std::lock_guard lock(mutex_);
  auto [peer, added] = peers_.try_emplace(target.instance);
  if (added) peer->second.next_sequence = first_sequence_;
  return MessageHeader{options_.self, target.instance, target.incarnation,
                       peer->second.epoch, peer->second.next_sequence++};
}

auto PeerRequestClient::TakeConnection(const PeerTarget& target)
    -> std::unique_ptr<HttpExchange> {
  const std::lock_guard lock(mutex_);
  auto& idle = peers_[target.instance].idle;
  const auto oldest = MonotonicNow() - options_.idle_limit;
  idle.erase(std::remove_if(idle.begin(), idle.end(),
                            [&](const IdleConnection& connection) {
                              return connection.since < oldest ||
                                     connection.address != target.address;
                            }),
             idle.end());
  if (idle.empty()) return std::make_unique<HttpExchange>();
  auto exchange = std::move(idle.back().exchange);
  idle.pop_back();
  return exchange;
}

auto PeerRequestClient::KeepConnection(const PeerTarget& target,
                                       std::unique_ptr<HttpExchange> exchange)
    -> void {
  const std::lock_guard lock(mutex_);
  const auto peer = peers_.find(target.instance);
  if (peer == peers_.end()) return;
  auto& idle = peer->second.idle;
  if (idle.size() >= options_.max_idle_connections) return;
  idle.push_back({target.address, std::move(exchange), MonotonicNow()});
}

auto PeerRequestClient::LearnEpoch(const InstanceId& instance,
                                   ReceiverEpoch epoch) -> void {
  const std::lock_guard lock(mutex_);
  const auto peer = peers_.find(instance);
  if (peer != peers_.end()) peer->second.epoch = epoch;
}

auto PeerRequestClient::Forget(const InstanceId& instance) -> void {
  const std::lock_guard lock(mutex_);
  const auto peer = peers_.find(instance);
  if (peer == peers_.end()) return;
  first_sequence_ = std::max(first_sequence_, peer->second.next_sequence);
  peers_.erase(peer);
}

}  // namespace dotterellug
