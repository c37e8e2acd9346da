#include "platform_standin.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <fstream>
#include <utility>

namespace review {
namespace {

constexpr int kBacklog = 1024;
constexpr double kStoreAnswerSeconds = 0.004;

auto Lower(std::string text) -> std::string {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

auto Trim(const std::string& text) -> std::string {
  const auto begin = text.find_first_not_of(" \t");
  if (begin == std::string::npos) return "";
  return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

auto QueryNumber(const std::string& query, const std::string& name,
                 std::int64_t otherwise) -> std::int64_t {
  const auto at = ("&" + query).find("&" + name + "=");
  if (at == std::string::npos) return otherwise;
  return std::atoll(query.c_str() + at + name.size() + 1);
}

auto Address(const std::string& host, int port) -> sockaddr_in {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  return address;
}

auto JsonResponse(int status, const Json& body) -> std::string {
  return Response(status, "Content-Type: application/json\r\n", body.dump());
}

}  // namespace

auto Now() -> double {
  static const auto begin = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin)
      .count();
}

auto SleepFor(double seconds) -> void {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

Record::Record(const std::string& path)
    : file_(std::fopen(path.c_str(), "w")) {}

Record::~Record() {
  if (file_ != nullptr) std::fclose(file_);
}

auto Record::Line(const std::string& text) -> void {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (file_ == nullptr) return;
  std::fprintf(file_, "%8.3f %s\n", Now(), text.c_str());
  std::fflush(file_);
}

auto Message::Field(const std::string& name) const -> std::string {
  const auto found = fields.find(name);
  return found == fields.end() ? "" : found->second;
}

auto Message::Status() const -> int {
  const auto blank = start.find(' ');
  return blank == std::string::npos ? 0 : std::atoi(start.c_str() + blank);
}

Connection::~Connection() { ::close(descriptor_); }

auto Connection::Connect(const std::string& address, int port,
                         const std::string& from) -> int {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (descriptor < 0) return -1;
  if (!from.empty()) {
    const auto own = review::Address(from, 0);
    if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&own),
               sizeof(own)) != 0) {
      ::close(descriptor);
      return -1;
    }
  }
  const auto peer = review::Address(address, port);
  if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&peer),
                sizeof(peer)) != 0) {
    ::close(descriptor);
    return -1;
  }
  const int on = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return descriptor;
}

auto Connection::SetTimeout(double seconds) -> void {
  timeval time{};
  time.tv_sec = static_cast<time_t>(seconds);
  time.tv_usec = static_cast<suseconds_t>(
      (seconds - static_cast<double>(time.tv_sec)) * 1e6);
  ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
}

auto Connection::ReadMore() -> bool {
  std::array<char, 16'384> bytes{};
  const auto count = ::recv(descriptor_, bytes.data(), bytes.size(), 0);
  if (count <= 0) return false;
  input_.append(bytes.data(), static_cast<std::size_t>(count));
  return true;
}

auto Connection::Read(Message& message) -> bool {
  auto end = input_.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!ReadMore()) return false;
    end = input_.find("\r\n\r\n");
  }
  message = Message{};
  std::size_t at = 0;
  while (at <= end) {
    const auto line_end = input_.find("\r\n", at);
    const auto line = input_.substr(at, line_end - at);
    const auto colon = line.find(':');
    if (at == 0) {
      message.start = line;
    } else if (colon != std::string::npos) {
      message.fields[Lower(line.substr(0, colon))] =
          Trim(line.substr(colon + 1));
    }
    at = line_end + 2;
  }
  input_.erase(0, end + 4);
  const auto length = static_cast<std::size_t>(
      std::atoll(message.Field("content-length").c_str()));
  while (input_.size() < length) {
    if (!ReadMore()) return false;
  }
  message.body = input_.substr(0, length);
  input_.erase(0, length);
  return true;
}

auto Connection::Send(const std::string& bytes) -> bool {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const auto count = ::send(descriptor_, bytes.data() + sent,
                              bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

Server::Server(Handler handler) {
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto address = Address("127.0.0.1", 0);
  const bool listens =
      ::bind(listener, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) == 0 &&
      ::listen(listener, kBacklog) == 0;
  if (!listens) std::exit(kNotRun);
  socklen_t size = sizeof(address);
  ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  port_ = ntohs(address.sin_port);
  std::thread([listener, handler = std::move(handler)] {
    while (true) {
      const int client = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (client < 0) continue;
      const int on = 1;
      ::setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([client, handler] {
        Connection connection(client);
        handler(connection);
      }).detach();
    }
  }).detach();
}

auto Response(int status, const std::string& fields, const std::string& body)
    -> std::string {
  return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Store::Store(Record& record)
    : record_(record),
      server_([this](Connection& connection) { Serve(connection); }) {}

auto Store::Address() const -> std::string {
  return "127.0.0.1:" + std::to_string(server_.Port());
}

auto Store::Write(const std::string& kind, const std::string& name,
                  const Json& spec, bool deleted) -> Json {
  ++revision_;
  Json object{{"metadata",
               {{"name", name},
                {"rev", revision_},
                {"created", 1},
                {"finalizers", Json::array()},
                {"deleting", false}}},
              {"spec", spec},
              {"status", nullptr}};
  if (deleted) {
    objects_[kind].erase(name);
  } else {
    objects_[kind][name] = object;
  }
  changes_.push_back(
      {revision_, kind, {{"deleted", deleted}, {"object", object}}});
  changed_.notify_all();
  return object;
}

auto Store::Put(const std::string& kind, const std::string& name,
                const Json& spec) -> void {
  const std::lock_guard<std::mutex> lock(mutex_);
  Write(kind, name, spec, false);
  record_.Line("store: written " + kind + "/" + name);
}

auto Store::Spec(const std::string& kind, const std::string& name) -> Json {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto& objects = objects_[kind];
  const auto found = objects.find(name);
  return found == objects.end() ? Json() : found->second["spec"];
}

auto Store::SetDown(bool down) -> void {
  down_ = down;
  record_.Line(down ? "store: down, answers nothing" : "store: back");
}

auto Store::Serve(Connection& connection) -> void {
  Message call;
  while (connection.Read(call)) {
    SleepFor(kStoreAnswerSeconds);
    if (down_) break;
    const auto answer = Answer(call);
    // An answer that is due while the store is down is lost.
    if (down_ || !connection.Send(answer)) break;
  }
  // The channel stays open and silent while the store is down.
  while (down_) SleepFor(0.05);
}

auto Store::Answer(const Message& call) -> std::string {
  const auto blank = call.start.find(' ');
  const auto method = call.start.substr(0, blank);
  auto path = call.start.substr(blank + 1);
  path = path.substr(0, path.find(' '));
  const auto mark = path.find('?');
  const auto query =
      mark == std::string::npos ? std::string() : path.substr(mark + 1);
  path = path.substr(0, mark);
  const std::string root = "/-/objects/";
  if (path.compare(0, root.size(), root) != 0) return JsonResponse(404, {});
  path = path.substr(root.size());
  const auto slash = path.find('/');
  const auto kind = path.substr(0, slash);
  const auto name =
      slash == std::string::npos ? std::string() : path.substr(slash + 1);
  const auto after = QueryNumber(query, "watch", -1);
  if (method == "GET" && after >= 0) {
    return Watch(kind, after, QueryNumber(query, "waitMs", 1000));
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  auto& objects = objects_[kind];
  if (method != "GET") return Change_(method, kind, name, call);
  if (!name.empty()) {
    const auto found = objects.find(name);
    if (found == objects.end()) return JsonResponse(404, Json::object());
    return JsonResponse(200, found->second);
  }
  auto items = Json::array();
  for (const auto& [key, object] : objects) items.push_back(object);
  return JsonResponse(
      200, {{"items", items}, {"hasMore", false}, {"asOf", revision_}});
}

auto Store::Change_(const std::string& method, const std::string& kind,
                    const std::string& path_name, const Message& call)
    -> std::string {
  const auto body = Json::parse(call.body, nullptr, false);
  const auto metadata = body.is_object()
                            ? body.value("metadata", Json::object())
                            : Json::object();
  const auto name =
      method == "POST" ? metadata.value("name", std::string()) : path_name;
  auto& objects = objects_[kind];
  const auto found = objects.find(name);
  if (method == "POST") {
    if (found != objects.end()) return JsonResponse(409, found->second);
    return JsonResponse(200, Write(kind, name, body["spec"], false));
  }
  if (found == objects.end()) return JsonResponse(404, Json::object());
  const auto query = call.start.find("rev=");
  Json condition = metadata.contains("rev") ? metadata["rev"] : Json();
  if (query != std::string::npos) {
    condition = std::atoll(call.start.c_str() + query + 4);
  }
  if (!condition.is_null() && condition != found->second["metadata"]["rev"]) {
    return JsonResponse(409, found->second);
  }
  const bool deletes = method == "DELETE";
  return JsonResponse(
      200, Write(kind, name, deletes ? Json() : body["spec"], deletes));
}

auto Store::Watch(const std::string& kind, std::int64_t after,
                  std::int64_t wait_ms) -> std::string {
  std::unique_lock<std::mutex> lock(mutex_);
  const auto until =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(wait_ms);
  while (true) {
    auto events = Json::array();
    for (const auto& change : changes_) {
      if (change.revision > after && change.kind == kind) {
        events.push_back(change.event);
      }
    }
    if (!events.empty()) {
      return JsonResponse(200, {{"events", events}, {"asOf", revision_}});
    }
    if (changed_.wait_until(lock, until) == std::cv_status::timeout) {
      return JsonResponse(200, {{"events", Json::array()}, {"asOf", after}});
    }
  }
}

Engine::Engine(Store& store, Record& record, std::string id,
               std::string service, std::string zone, double work_ms)
    : record_(record),
      id_(std::move(id)),
      work_ms_(work_ms),
      server_([this](Connection& connection) { Serve(connection); }) {
  constexpr std::int64_t kBorn = 1'790'000'000'000;
  store.Put("servers", id_,
            {{"service", service},
             {"addr", "127.0.0.1:" + std::to_string(server_.Port())},
             {"zone", zone},
             {"version", "v1"},
             {"slots", 64},
             {"state", "ready"},
             {"coldLeftMs", 0},
             {"seq", 0},
             {"born", kBorn}});
}

auto Engine::Runs() -> std::vector<Run> {
  const std::lock_guard<std::mutex> lock(mutex_);
  return runs_;
}

auto Engine::Serve(Connection& connection) -> void {
  Message request;
  while (connection.Read(request)) {
    const auto id = request.Field("request-id");
    const auto echoed = "Request-Id: " + id + "\r\n";
    const auto expected = request.Field("expect-instance");
    if (!expected.empty() && expected != id_) {
      if (!connection.Send(Response(
              421, echoed + "Not-Run: 1\r\nInstance-Id: " + id_ + "\r\n",
              ""))) {
        return;
      }
      continue;
    }
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      runs_.push_back({id, request.Field("tenant"), Now()});
    }
    record_.Line("engine " + id_ + " runs " + id + " of " +
                 request.Field("tenant"));
    SleepFor(work_ms_ / 1000);
    const auto seal = "Server-Seal: " + id_ + "." + id + "\r\n";
    if (!connection.Send(Response(200, echoed + seal, "answer to " + id))) {
      return;
    }
  }
}

Machine::Machine(Record& record, const std::string& folder, std::string name,
                 std::string ip, const std::string& zone,
                 const std::string& store)
    : record_(record),
      folder_(folder),
      name_(std::move(name)),
      ip_(std::move(ip)),
      zone_(zone),
      store_(store) {}

Machine::~Machine() {
  if (process_ < 0) return;
  Signal(SIGKILL);
  WaitForEnd(5);
}

auto Machine::Start(bool bootstrap) -> void {
  const auto file = folder_ + "/" + name_ + ".json";
  const auto log = folder_ + "/" + name_ + ".log";
  const auto on = [&](int port) { return ip_ + ":" + std::to_string(port); };
  const Json settings{
      {"nodeName", name_},
      {"role", "gateway"},
      {"machineClass", "front"},
      {"serves", {"front"}},
      {"ip", ip_},
      {"zone", zone_},
      {"region", "nairobi"},
      {"listen", {{"front", on(kCallerPort)}, {"ready", on(kReadyPort)}}},
      {"portRange", {7600, 7615}},
      {"seeds", Json::array()},
      {"bootstrap", bootstrap},
      {"limits",
       {{"cpuShare", 0.25},
        {"cores", 1},
        {"ramMb", 260},
        {"maxFds", 4100},
        {"linkMbps", 1000.0},
        {"diskMb", 0}}},
      {"discovery", "platform"},
      {"entry", "vip"},
      {"heartbeatMs", 1200},
      {"bounds",
       {{"graceS", 8},
        {"leaseTtlMs", 3000},
        {"fenceChecked", true},
        {"budgetRatio", 0.2},
        {"budgetWindowS", 10},
        {"budgetSlack", 58}}},
      {"provider",
       {{"addr", store_},
        {"form", "objects"},
        {"writesPerS", 400},
        {"readsPerS", 2000},
        {"historyS", 20},
        {"valueBytes", 1'048'576}}}};
  std::ofstream(file) << settings.dump(2);
  std::string program = "target/daemon/dotterellugd";
  std::string argument = "--platform";
  std::string entry = "DOTTERELLUG_SETTINGS=" + file;
  std::array<char*, 3> arguments{program.data(), argument.data(), nullptr};
  std::array<char*, 2> environment{entry.data(), nullptr};
  const int output =
      ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0644);
  process_ = ::fork();
  if (process_ == 0) {
    // Other threads may hold locks, so only system calls follow.
    // The daemon does not outlive this program, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::execve(program.c_str(), arguments.data(), environment.data());
    ::_exit(127);
  }
  ::close(output);
  record_.Line("machine " + name_ + " started");
}

auto Machine::Signal(int number) -> void {
  if (process_ < 0) return;
  ::kill(process_, number);
  record_.Line("machine " + name_ + " gets signal " + std::to_string(number));
}

auto Machine::WaitForEnd(double seconds) -> bool {
  const auto until = Now() + seconds;
  while (Running()) {
    if (Now() > until) return false;
    SleepFor(0.01);
  }
  return true;
}

auto Machine::Running() -> bool {
  if (process_ < 0) return false;
  int status = 0;
  if (::waitpid(process_, &status, WNOHANG) != process_) return true;
  record_.Line("machine " + name_ + ": process ended, status " +
               std::to_string(status));
  process_ = -1;
  return false;
}

auto Machine::Ready() const -> bool {
  const int descriptor = Connection::Connect(ip_, kReadyPort);
  if (descriptor < 0) return false;
  Connection connection(descriptor);
  connection.SetTimeout(1);
  Message answer;
  return connection.Send("GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n") &&
         connection.Read(answer) && answer.Status() == 200;
}

auto Machine::AnonymousKb() const -> std::int64_t {
  std::ifstream status("/proc/" + std::to_string(process_) + "/status");
  std::string line;
  const std::string name = "RssAnon:";
  while (std::getline(status, line)) {
    if (line.compare(0, name.size(), name) == 0) {
      return std::atoll(line.c_str() + name.size());
    }
  }
  return 0;
}

auto OwnNetwork() -> std::string {
  const auto process = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(20 + process % 200) + "." +
         std::to_string(process / 200 % 250) + ".";
}

auto WaitUntilReady(const std::vector<Machine*>& machines, double seconds)
    -> bool {
  const auto until = Now() + seconds;
  while (Now() < until) {
    const bool ready =
        std::all_of(machines.begin(), machines.end(),
                    [](const auto* machine) { return machine->Ready(); });
    if (ready) return true;
    SleepFor(0.1);
  }
  return false;
}

}  // namespace review
