#include "peer/request/peer_request_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>

#include <cstdlib>
#include <cstring>
#include <mutex>
#include <optional>
#include <utility>

#include "peer/auth/freshness_guard.h"
#include "peer/request/json_conversion.h"
#include "peer/request/request_head.h"
#include "peer/request/rpc_dispatcher.h"

namespace dotterellug {

namespace {

// Enough for JSON of the permitted depth and for handlers that only post to
// the control thread.
constexpr std::size_t kStackBytes = std::size_t{512} << 10;
// Bound of libmicrohttpd for the headers of one connection.
constexpr std::size_t kHeaderBytes = 8192;

struct PendingRequest {
  std::string head;
  std::string mac;
  std::string body;
};

struct Reply {
  unsigned status = MHD_HTTP_OK;
  std::string head;
  std::string mac;
  std::string body;
};

auto HeaderValue(MHD_Connection* connection, const char* name) -> std::string {
  const char* value =
      MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
  return value == nullptr ? std::string() : std::string(value);
}

auto SendReply(MHD_Connection* connection, const Reply& reply) -> MHD_Result {
  // libmicrohttpd does not change the buffer with MHD_RESPMEM_MUST_COPY.
  auto* response = MHD_create_response_from_buffer(
      reply.body.size(), const_cast<char*>(reply.body.data()),
      MHD_RESPMEM_MUST_COPY);
  if (response == nullptr) return MHD_NO;
  MHD_add_response_header(response, "Content-Type", "application/json");
  if (!reply.mac.empty()) {
    MHD_add_response_header(response, kHeadHeader, reply.head.c_str());
    MHD_add_response_header(response, kMacHeader, reply.mac.c_str());
  }
  const auto queued = MHD_queue_response(connection, reply.status, response);
  MHD_destroy_response(response);
  return queued;
}

auto ContentLength(MHD_Connection* connection) -> std::uint64_t {
  const auto text = HeaderValue(connection, MHD_HTTP_HEADER_CONTENT_LENGTH);
  return std::strtoull(text.c_str(), nullptr, 10);
}

struct BindAddress {
  sockaddr_storage storage{};
  bool ipv6 = false;
};

auto ToBindAddress(const SocketAddress& address) -> std::optional<BindAddress> {
  BindAddress bind;
  auto* ipv4 = reinterpret_cast<sockaddr_in*>(&bind.storage);
  auto* ipv6 = reinterpret_cast<sockaddr_in6*>(&bind.storage);
  if (inet_pton(AF_INET, address.host.c_str(), &ipv4->sin_addr) == 1) {
    ipv4->sin_family = AF_INET;
    ipv4->sin_port = htons(address.port);
    return bind;
  }
  if (inet_pton(AF_INET6, address.host.c_str(), &ipv6->sin6_addr) == 1) {
    ipv6->sin6_family = AF_INET6;
    ipv6->sin6_port = htons(address.port);
    bind.ipv6 = true;
    return bind;
  }
  return std::nullopt;
}

}  // namespace

struct PeerRequestServer::State {
  State(PeerRequestServerOptions server_options, FleetKey fleet_key,
        PeerMethodTable methods)
      : options(std::move(server_options)),
        key(fleet_key),
        dispatcher(std::move(methods)),
        guard(options.self, options.epoch_period, DrawRandomEpoch,
              MonotonicNow()) {}

  auto Begin(MHD_Connection* connection, void** context) -> MHD_Result;
  auto Receive(PendingRequest* request, const char* data, std::size_t* size)
      -> MHD_Result;
  auto Finish(MHD_Connection* connection, const PendingRequest& request)
      -> MHD_Result;
  auto Refuse(const PendingRequest& request, PeerRefusal refusal) -> Reply;
  // PeerRefusal before the MAC was verified. It carries no MAC: otherwise
  // anyone could obtain an authenticated "not run" for a request of another
  // daemon.
  auto RefuseUnauthenticated(PeerRefusal refusal, unsigned status) -> Reply;
  auto Run(const PendingRequest& request, const MemberId& sender) -> Reply;
  auto Authenticated(const PendingRequest& request, PeerRefusal refusal,
                     std::string body) -> Reply;
  auto Check(const MessageHeader& header) -> PeerRefusal;

  const PeerRequestServerOptions options;
  const FleetKey key;
  RpcDispatcher dispatcher;
  std::mutex mutex;
  FreshnessGuard guard;
  RefusalCounters counters;
  std::atomic<int> running{0};
  MHD_Daemon* daemon = nullptr;
};

auto PeerRequestServer::State::Begin(MHD_Connection* connection, void** context)
    -> MHD_Result {
  if (ContentLength(connection) > options.max_body_bytes) {
    return SendReply(connection,
                     RefuseUnauthenticated(PeerRefusal::kTooLarge,
                                           MHD_HTTP_CONTENT_TOO_LARGE));
  }
  auto request = std::make_unique<PendingRequest>();
  request->head = HeaderValue(connection, kHeadHeader);
  request->mac = HeaderValue(connection, kMacHeader);
  if (!ParseRequestHead(request->head) || !ParseMac(request->mac)) {
    return SendReply(connection, RefuseUnauthenticated(PeerRefusal::kMalformed,
                                                       MHD_HTTP_BAD_REQUEST));
  }
  *context = request.release();
  return MHD_YES;
}

auto PeerRequestServer::State::Receive(PendingRequest* request,
                                       const char* data, std::size_t* size)
    -> MHD_Result {
  if (request->body.size() + *size > options.max_body_bytes) {
    counters.Count(PeerRefusal::kTooLarge);
    return MHD_NO;
  }
  request->body.append(data, *size);
  *size = 0;
  return MHD_YES;
}

auto PeerRequestServer::State::Finish(MHD_Connection* connection,
                                      const PendingRequest& request)
    -> MHD_Result {
  const auto header = ParseRequestHead(request.head);
  const auto mac = ParseMac(request.mac);
  if (!key.Verify(*mac, MacPurpose::kRequest, request.head, request.body)) {
    return SendReply(connection, RefuseUnauthenticated(PeerRefusal::kBadMac,
                                                       MHD_HTTP_FORBIDDEN));
  }
  const auto refusal = Check(*header);
  if (refusal != PeerRefusal::kNone) {
    return SendReply(connection, Refuse(request, refusal));
  }
  if (!JsonDepthAllowed(request.body)) {
    return SendReply(connection, Refuse(request, PeerRefusal::kMalformed));
  }
  if (++running > options.max_concurrent) {
    --running;
    return SendReply(connection, Refuse(request, PeerRefusal::kBusy));
  }
  const auto reply = Run(request, header->sender);
  --running;
  return SendReply(connection, reply);
}

auto PeerRequestServer::State::Refuse(const PendingRequest& request,
                                      PeerRefusal refusal) -> Reply {
  counters.Count(refusal);
  auto reply = Authenticated(request, refusal, {});
  reply.status = MHD_HTTP_FORBIDDEN;
  return reply;
}

auto PeerRequestServer::State::RefuseUnauthenticated(PeerRefusal refusal,
                                                     unsigned status) -> Reply {
  counters.Count(refusal);
  Reply reply;
  reply.status = status;
  reply.body = RefusalName(refusal);
  return reply;
}

auto PeerRequestServer::State::Run(const PendingRequest& request,
                                   const MemberId& sender) -> Reply {
  counters.Count(PeerRefusal::kNone);
  return Authenticated(request, PeerRefusal::kNone,
                       dispatcher.Dispatch(sender, request.body));
}

auto PeerRequestServer::State::Authenticated(const PendingRequest& request,
                                             PeerRefusal refusal,
                                             std::string body) -> Reply {
  Reply reply;
  {
    const std::lock_guard lock(mutex);
    reply.head =
        EncodeResponseHead({options.self.incarnation,
                            guard.CurrentEpoch(MonotonicNow()), refusal});
  }
  reply.body = std::move(body);
  reply.mac =
      EncodeMac(key.Mac(MacPurpose::kResponse,
                        ResponseMacHead(reply.head, request.mac), reply.body));
  return reply;
}

auto PeerRequestServer::State::Check(const MessageHeader& header)
    -> PeerRefusal {
  const std::lock_guard lock(mutex);
  return guard.Check(header, MonotonicNow());
}

PeerRequestServer::PeerRequestServer(std::unique_ptr<State> state)
    : state_(std::move(state)) {}

PeerRequestServer::~PeerRequestServer() { MHD_stop_daemon(state_->daemon); }

auto PeerRequestServer::Start(PeerRequestServerOptions options, FleetKey key,
                              PeerMethodTable methods)
    -> Result<std::unique_ptr<PeerRequestServer>> {
  const auto bind = ToBindAddress(options.listen);
  if (!bind) {
    return Fail(ErrorKind::kInvalidArgument,
                "'" + options.listen.host + "' is not an IP address",
                "set the peer address to an IP address of this instance");
  }
  auto state =
      std::make_unique<State>(std::move(options), key, std::move(methods));
  const MHD_AccessHandlerCallback handle =
      [](void* self, MHD_Connection* connection, const char*,
         const char* method, const char*, const char* data, std::size_t* size,
         void** context) -> MHD_Result {
    auto* server = static_cast<State*>(self);
    if (std::strcmp(method, MHD_HTTP_METHOD_POST) != 0) {
      return SendReply(connection, server->RefuseUnauthenticated(
                                       PeerRefusal::kMalformed,
                                       MHD_HTTP_METHOD_NOT_ALLOWED));
    }
    if (*context == nullptr) return server->Begin(connection, context);
    auto* request = static_cast<PendingRequest*>(*context);
    if (*size > 0) return server->Receive(request, data, size);
    return server->Finish(connection, *request);
  };
  const MHD_RequestCompletedCallback complete =
      [](void*, MHD_Connection*, void** context,
         MHD_RequestTerminationCode) -> void {
    delete static_cast<PendingRequest*>(*context);
    *context = nullptr;
  };
  unsigned flags = MHD_USE_INTERNAL_POLLING_THREAD |
                   MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL;
  if (bind->ipv6) flags |= MHD_USE_IPv6;
  state->daemon = MHD_start_daemon(
      flags, 0, nullptr, nullptr, handle, state.get(),
      MHD_OPTION_NOTIFY_COMPLETED, complete, nullptr, MHD_OPTION_SOCK_ADDR,
      reinterpret_cast<const sockaddr*>(&bind->storage),
      MHD_OPTION_CONNECTION_LIMIT, state->options.max_connections,
      MHD_OPTION_CONNECTION_TIMEOUT, state->options.idle_timeout_seconds,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, kHeaderBytes,
      MHD_OPTION_THREAD_STACK_SIZE, kStackBytes, MHD_OPTION_END);
  if (state->daemon == nullptr) {
    return Fail(ErrorKind::kUnavailable,
                "cannot listen on " + state->options.listen.Text() + ": " +
                    std::strerror(errno),
                "check that no other process uses the port");
  }
  return std::unique_ptr<PeerRequestServer>(
      new PeerRequestServer(std::move(state)));
}

auto PeerRequestServer::SetPeers(std::set<InstanceId> peers) -> void {
  const std::lock_guard lock(state_->mutex);
  state_->guard.SetPeers(std::move(peers), MonotonicNow());
}

auto PeerRequestServer::Port() const -> std::uint16_t {
  return MHD_get_daemon_info(state_->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

auto PeerRequestServer::Counters() const -> const RefusalCounters& {
  return state_->counters;
}

}  // namespace dotterellug
