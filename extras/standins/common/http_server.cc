#include "standins/common/http_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>

#include <utility>

#include "core/net/target_reader.h"

namespace dotterellug::standins {
namespace {

// Bound of a request body: 1 MB of value, of which JSON may escape each byte
// with six characters, and some room.
constexpr std::size_t kMaxBodyBytes = 7'000'000;

struct Exchange {
  HttpRequest request;
  bool has_target = false;
  bool has_head = false;
};

// libmicrohttpd would let through targets that no HTTP client may send.
auto OnTarget(void* /*cls*/, const char* text, MHD_Connection* /*connection*/)
    -> void* {
  auto exchange = std::make_unique<Exchange>();
  if (auto target = ParseTarget(text)) {
    exchange->has_target = true;
    for (const auto& segment : target->segments) {
      exchange->request.path += "/" + segment;
    }
    exchange->request.query = std::move(target->fields);
  }
  return exchange.release();
}

auto Respond(MHD_Connection* connection, const HttpReply& reply) -> MHD_Result {
  if (reply.drop) return MHD_NO;
  // libmicrohttpd does not change the buffer in this mode.
  auto* data = const_cast<char*>(reply.body.data());
  auto* response = MHD_create_response_from_buffer(reply.body.size(), data,
                                                   MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header(response, "Content-Type", "application/json");
  const auto result = MHD_queue_response(connection, reply.status, response);
  MHD_destroy_response(response);
  return result;
}

auto OnAccess(void* cls, MHD_Connection* connection, const char* /*path*/,
              const char* method, const char* /*version*/,
              const char* upload_data, std::size_t* upload_data_size,
              void** request_cls) -> MHD_Result {
  auto& exchange = *static_cast<Exchange*>(*request_cls);
  auto& request = exchange.request;
  if (!std::exchange(exchange.has_head, true)) {
    request.method = method;
    return MHD_YES;
  }
  if (*upload_data_size > 0) {
    if (request.body.size() + *upload_data_size > kMaxBodyBytes) return MHD_NO;
    request.body.append(upload_data, *upload_data_size);
    *upload_data_size = 0;
    return MHD_YES;
  }
  if (!exchange.has_target) {
    return Respond(connection,
                   {400, R"({"error":{"type":"invalid_argument",)"
                         R"("message":"malformed request target"}})"});
  }
  return Respond(connection,
                 static_cast<const HttpServer*>(cls)->Handle(request));
}

auto OnCompleted(void* /*cls*/, MHD_Connection* /*connection*/,
                 void** request_cls, enum MHD_RequestTerminationCode /*code*/)
    -> void {
  const std::unique_ptr<Exchange> exchange(
      static_cast<Exchange*>(*request_cls));
  *request_cls = nullptr;
}

}  // namespace

auto HttpRequest::Query(const std::string& name,
                        const std::string& fallback) const -> std::string {
  const auto found = query.find(name);
  return found == query.end() ? fallback : found->second;
}

auto HttpServer::Start(const std::string& host, std::uint16_t port,
                       Handler handler) -> Result<std::unique_ptr<HttpServer>> {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  if (inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1) {
    return Fail(ErrorKind::kInvalidArgument, "bad IP address " + host,
                "use an IPv4 address");
  }
  std::unique_ptr<HttpServer> server(new HttpServer(std::move(handler)));
  server->daemon_ = MHD_start_daemon(
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, port,
      nullptr, nullptr, &OnAccess, server.get(), MHD_OPTION_SOCK_ADDR, &address,
      MHD_OPTION_NOTIFY_COMPLETED, &OnCompleted, nullptr,
      MHD_OPTION_URI_LOG_CALLBACK, &OnTarget, nullptr,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
  if (server->daemon_ == nullptr) {
    return Fail(ErrorKind::kUnavailable,
                "cannot listen on " + host + ":" + std::to_string(port),
                "choose a free port");
  }
  server->port_ =
      MHD_get_daemon_info(server->daemon_, MHD_DAEMON_INFO_BIND_PORT)->port;
  return server;
}

HttpServer::~HttpServer() {
  if (daemon_ != nullptr) MHD_stop_daemon(daemon_);
}

}  // namespace dotterellug::standins
