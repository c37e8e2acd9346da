#include "frontend/http/http_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <thread>

#include "core/net/body_framing.h"
#include "core/text/percent_encoding.h"
#include "core/variant/overloaded.h"

namespace dotterellug {
namespace {

constexpr std::size_t kStackBytes = 256 * 1024;
// libmicrohttpd keeps request line, headers and a read buffer in this pool.
constexpr std::size_t kReadBufferBytes = 16 * 1024;
constexpr std::size_t kStreamBlockBytes = 16 * 1024;
// How long a caller may take to send its next request while the server drains.
constexpr Duration kLastRequestTime = std::chrono::seconds(1);
// How long an accepted connection may take to get a thread. Without a free one
// libmicrohttpd closes it and does not say so.
constexpr Duration kTakeUpTime = std::chrono::seconds(5);

struct Exchange {
  HttpRequest request;
  bool too_large = false;
};

struct Stream {
  BodySource source;
  std::string pending;
  std::size_t offset = 0;
};

auto CollectHeader(void* target, MHD_ValueKind, const char* name,
                   const char* value) -> MHD_Result {
  auto* headers = static_cast<std::vector<HttpHeader>*>(target);
  headers->push_back({name, value == nullptr ? "" : value});
  return MHD_YES;
}

auto CollectQuery(void* target, MHD_ValueKind, const char* name,
                  const char* value) -> MHD_Result {
  auto* query = static_cast<std::string*>(target);
  *query += query->empty() ? '?' : '&';
  *query += PercentEncode(name);
  if (value != nullptr) *query += "=" + PercentEncode(value);
  return MHD_YES;
}

auto ReadStream(void* target, std::uint64_t, char* buffer, std::size_t size)
    -> ssize_t {
  auto* stream = static_cast<Stream*>(target);
  while (stream->offset == stream->pending.size()) {
    auto step = stream->source();
    if (std::holds_alternative<BodyEnd>(step)) {
      return MHD_CONTENT_READER_END_OF_STREAM;
    }
    if (std::holds_alternative<BodyAbort>(step)) {
      return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    stream->pending = std::move(std::get<BodyData>(step).bytes);
    stream->offset = 0;
  }
  const auto count = std::min(size, stream->pending.size() - stream->offset);
  std::copy_n(stream->pending.data() + stream->offset, count, buffer);
  stream->offset += count;
  return static_cast<ssize_t>(count);
}

auto FreeStream(void* target) -> void { delete static_cast<Stream*>(target); }

auto HasUnambiguousLength(const HttpRequest& request, std::string_view version)
    -> bool {
  BodyFraming framing;
  for (const auto& header : request.headers) {
    framing.Add(header.name, header.value);
  }
  return framing.Unambiguous(version != "HTTP/1.0");
}

auto PlainRefusal(int status, const std::string& message) -> HttpResponse {
  return {status,
          {{"Content-Type", "application/json"}},
          R"({"error":{"type":"invalid_argument","message":")" + message +
              R"(","ran":"no"}})",
          true};
}

}  // namespace

class HttpServer::Implementation {
 public:
  Implementation(HttpServerOptions options, HttpHandler handler)
      : options_(std::move(options)), handler_(std::move(handler)) {}

  ~Implementation() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
      for (const auto& [key, watched] : connections_) {
        ::shutdown(watched.descriptor, SHUT_RDWR);
      }
    }
    wake_.notify_all();
    if (reaper_.joinable()) reaper_.join();
    if (daemon_ != nullptr) MHD_stop_daemon(daemon_);
  }

  auto Listen() -> Result<void> {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(options_.port);
    if (inet_pton(AF_INET, options_.address.c_str(), &address.sin_addr) != 1) {
      return Fail(ErrorKind::kInvalidArgument,
                  "listen address '" + options_.address + "' is not IPv4",
                  "give an address such as 127.0.0.1");
    }
    unsigned flags = MHD_USE_THREAD_PER_CONNECTION |
                     MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL |
                     MHD_USE_ITC;
    std::vector<MHD_OptionItem> tls;
    if (!options_.tls_certificate.empty()) {
      flags |= MHD_USE_TLS;
      tls.push_back(
          {MHD_OPTION_HTTPS_MEM_CERT, 0, options_.tls_certificate.data()});
      tls.push_back({MHD_OPTION_HTTPS_MEM_KEY, 0, options_.tls_key.data()});
    }
    tls.push_back({MHD_OPTION_END, 0, nullptr});
    daemon_ = MHD_start_daemon(
        flags, options_.port, &Implementation::OnAccept, this,
        &Implementation::OnRequest, this, MHD_OPTION_SOCK_ADDR, &address,
        MHD_OPTION_CONNECTION_LIMIT, options_.max_connections,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        options_.max_header_bytes + kReadBufferBytes,
        MHD_OPTION_THREAD_STACK_SIZE, kStackBytes, MHD_OPTION_NOTIFY_COMPLETED,
        &Implementation::OnCompleted, this, MHD_OPTION_NOTIFY_CONNECTION,
        &Implementation::OnConnection, this, MHD_OPTION_STRICT_FOR_CLIENT, 1,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_ARRAY, tls.data(),
        MHD_OPTION_END);
    if (daemon_ == nullptr) {
      return Fail(ErrorKind::kUnavailable,
                  "cannot listen on " + options_.address + ":" +
                      std::to_string(options_.port),
                  "check that the address is local and the port is free");
    }
    reaper_ = std::thread([this] { CloseSlowConnections(); });
    return {};
  }

  auto Port() const -> std::uint16_t {
    const auto* info = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_BIND_PORT);
    return info == nullptr ? 0 : info->port;
  }

  auto BeginDrain() -> void { draining_ = true; }

  auto StopAccepting() -> std::size_t {
    BeginDrain();
    const auto socket = MHD_quiesce_daemon(daemon_);
    if (socket == MHD_INVALID_SOCKET) return 0;
    const auto lost = TakeWaitingConnections(socket);
    ::close(socket);
    AddClosedConnection();
    return lost;
  }

  auto CloseIdleConnections() -> void {
    const std::lock_guard lock(mutex_);
    const auto latest = MonotonicNow() - kLastRequestTime;
    for (const auto& [key, watched] : connections_) {
      if (watched.answered && watched.waiting_since > latest) continue;
      // A request that has already arrived can still be read after this.
      if (!watched.begun) ::shutdown(watched.descriptor, SHUT_RD);
    }
  }

  auto ActiveRequests() const -> std::int64_t { return active_; }

  auto OpenConnections() const -> std::size_t {
    const std::lock_guard lock(mutex_);
    const auto oldest = MonotonicNow() - kTakeUpTime;
    const auto accepted = std::count_if(
        accepted_at_.begin(), accepted_at_.end(),
        [&](Timestamp accepted_at) { return accepted_at > oldest; });
    return connections_.size() + static_cast<std::size_t>(accepted);
  }

 private:
  struct WatchedConnection {
    int descriptor = -1;
    Timestamp waiting_since;
    // The head of a request has been read, and its response is not complete.
    bool begun = false;
    // The request is complete, its response is not.
    bool in_request = false;
    // A response was sent after which the connection stays open.
    bool answered = false;
  };

  // Callers whose connections wait in the kernel's queue may have sent their
  // requests already.
  auto TakeWaitingConnections(MHD_socket listener) -> std::size_t {
    std::size_t lost = 0;
    while (true) {
      sockaddr_in address{};
      socklen_t size = sizeof address;
      auto* generic = reinterpret_cast<sockaddr*>(&address);
      const auto descriptor =
          ::accept4(listener, generic, &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (descriptor < 0) return lost;
      // Closes the descriptor itself when it fails.
      if (MHD_add_connection(daemon_, descriptor, generic, size) != MHD_YES) {
        ++lost;
      }
    }
  }

  // libmicrohttpd may be between accepting a connection and telling of it. It
  // takes up this one, on which the peer has closed, only after that.
  auto AddClosedConnection() -> void {
    std::array<int, 2> pair{};
    const auto type = SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC;
    // Without a free descriptor nothing is being accepted either.
    if (::socketpair(AF_UNIX, type, 0, pair.data()) != 0) return;
    ::close(pair[1]);
    sockaddr address{};
    address.sa_family = AF_UNIX;
    MHD_add_connection(daemon_, pair[0], &address, sizeof address);
  }

  static auto Descriptor(MHD_Connection* connection) -> int {
    const auto* info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    return info == nullptr ? -1 : info->connect_fd;
  }

  static auto OnAccept(void* self, const sockaddr*, socklen_t) -> MHD_Result {
    auto* server = static_cast<Implementation*>(self);
    const std::lock_guard lock(server->mutex_);
    const auto now = MonotonicNow();
    auto& accepted_at = server->accepted_at_;
    while (!accepted_at.empty() && now - accepted_at.front() > kTakeUpTime) {
      accepted_at.pop_front();
    }
    accepted_at.push_back(now);
    return MHD_YES;
  }

  static auto OnConnection(void* self, MHD_Connection* connection, void**,
                           MHD_ConnectionNotificationCode code) -> void {
    auto* server = static_cast<Implementation*>(self);
    const std::lock_guard lock(server->mutex_);
    if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
      server->connections_.erase(connection);
      return;
    }
    auto& accepted_at = server->accepted_at_;
    if (!accepted_at.empty()) accepted_at.pop_front();
    const auto descriptor = Descriptor(connection);
    const int no_delay = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &no_delay,
                 sizeof no_delay);
    server->connections_[connection] = {descriptor, MonotonicNow()};
  }

  static auto OnCompleted(void* self, MHD_Connection* connection, void** state,
                          MHD_RequestTerminationCode) -> void {
    auto* server = static_cast<Implementation*>(self);
    if (*state == nullptr) return;
    delete static_cast<Exchange*>(*state);
    *state = nullptr;
    server->Watch(connection, false, false);
    --server->active_;
  }

  static auto OnRequest(void* self, MHD_Connection* connection,
                        const char* path, const char* method,
                        const char* version, const char* data,
                        std::size_t* size, void** state) -> MHD_Result {
    auto* server = static_cast<Implementation*>(self);
    if (*state == nullptr) {
      auto* begun = server->BeginExchange(connection, path, method);
      *state = begun;
      if (HasUnambiguousLength(begun->request, version)) return MHD_YES;
      // Its body is not read, since nobody can say where it ends.
      return server->Queue(
          connection,
          PlainRefusal(400,
                       "the length of the body is ambiguous; send one "
                       "Content-Length or the transfer coding chunked"));
    }
    auto* exchange = static_cast<Exchange*>(*state);
    if (*size > 0) {
      server->AppendBody(*exchange, data, *size);
      *size = 0;
      return MHD_YES;
    }
    server->Watch(connection, true, true);
    return server->Respond(connection, *exchange);
  }

  auto BeginExchange(MHD_Connection* connection, const char* path,
                     const char* method) -> Exchange* {
    ++active_;
    MarkBegun(connection);
    auto exchange = std::make_unique<Exchange>();
    exchange->request.path = path;
    exchange->request.method = method;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &CollectHeader,
                              &exchange->request.headers);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &CollectQuery,
                              &exchange->request.query);
    return exchange.release();
  }

  auto AppendBody(Exchange& exchange, const char* data, std::size_t size) const
      -> void {
    if (exchange.request.body.size() + size > options_.max_body_bytes) {
      exchange.too_large = true;
      exchange.request.body.clear();
    }
    if (!exchange.too_large) exchange.request.body.append(data, size);
  }

  auto Respond(MHD_Connection* connection, Exchange& exchange) -> MHD_Result {
    HttpResponse response;
    if (exchange.too_large) {
      response = PlainRefusal(413, "the body is larger than " +
                                       std::to_string(options_.max_body_bytes) +
                                       " bytes; send a smaller request");
    } else {
      response =
          handler_(exchange.request, CallerConnection(Descriptor(connection)));
    }
    return Queue(connection, std::move(response));
  }

  auto Queue(MHD_Connection* connection, HttpResponse response) -> MHD_Result {
    auto* reply = std::visit(
        Overloaded{[](std::string& text) {
                     return MHD_create_response_from_buffer(
                         text.size(), text.data(), MHD_RESPMEM_MUST_COPY);
                   },
                   [](BodySource& source) {
                     return MHD_create_response_from_callback(
                         MHD_SIZE_UNKNOWN, kStreamBlockBytes, &ReadStream,
                         new Stream{std::move(source), {}, 0}, &FreeStream);
                   },
                   [](DropConnection&) -> MHD_Response* { return nullptr; }},
        response.body);
    if (reply == nullptr) return MHD_NO;
    for (const auto& header : response.headers) {
      MHD_add_response_header(reply, header.name.c_str(), header.value.c_str());
    }
    if (response.close_connection || draining_) {
      MHD_add_response_header(reply, "Connection", "close");
    }
    const auto result = MHD_queue_response(
        connection, static_cast<unsigned>(response.status), reply);
    MHD_destroy_response(reply);
    return result;
  }

  auto Watch(MHD_Connection* connection, bool begun, bool in_request) -> void {
    const std::lock_guard lock(mutex_);
    const auto found = connections_.find(connection);
    if (found == connections_.end()) return;
    found->second.begun = begun;
    found->second.in_request = in_request;
    if (!begun) found->second.answered = true;
    found->second.waiting_since = MonotonicNow();
  }

  auto MarkBegun(MHD_Connection* connection) -> void {
    const std::lock_guard lock(mutex_);
    const auto found = connections_.find(connection);
    if (found != connections_.end()) found->second.begun = true;
  }

  auto CloseSlowConnections() -> void {
    std::unique_lock lock(mutex_);
    while (!stopping_) {
      wake_.wait_for(lock, options_.request_timeout / 4);
      const auto oldest = MonotonicNow() - options_.request_timeout;
      for (auto& [key, watched] : connections_) {
        if (watched.in_request || watched.waiting_since > oldest) continue;
        ::shutdown(watched.descriptor, SHUT_RDWR);
      }
    }
  }

  HttpServerOptions options_;
  HttpHandler handler_;
  MHD_Daemon* daemon_ = nullptr;
  std::atomic<std::int64_t> active_{0};
  std::atomic<bool> draining_{false};
  mutable std::mutex mutex_;
  std::condition_variable wake_;
  bool stopping_ = false;
  std::map<MHD_Connection*, WatchedConnection> connections_;
  // When connections were accepted that no thread has taken up yet.
  std::deque<Timestamp> accepted_at_;
  std::thread reaper_;
};

HttpServer::HttpServer(std::unique_ptr<Implementation> implementation)
    : implementation_(std::move(implementation)) {}

HttpServer::~HttpServer() = default;

auto HttpServer::Start(HttpServerOptions options, HttpHandler handler)
    -> Result<std::unique_ptr<HttpServer>> {
  auto implementation =
      std::make_unique<Implementation>(std::move(options), std::move(handler));
  const auto listening = implementation->Listen();
  if (!listening) return tl::unexpected(listening.error());
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(implementation)));
}

auto HttpServer::Port() const -> std::uint16_t {
  return implementation_->Port();
}

auto HttpServer::BeginDrain() -> void { implementation_->BeginDrain(); }

auto HttpServer::StopAccepting() -> std::size_t {
  return implementation_->StopAccepting();
}

auto HttpServer::CloseIdleConnections() -> void {
  implementation_->CloseIdleConnections();
}

auto HttpServer::OpenConnections() const -> std::size_t {
  return implementation_->OpenConnections();
}

auto HttpServer::ActiveRequests() const -> std::int64_t {
  return implementation_->ActiveRequests();
}

}  // namespace dotterellug
