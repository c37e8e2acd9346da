#include "world.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <random>
#include <utility>

namespace review {
namespace {

constexpr const char* kLoopback = "127.0.0.1";
constexpr double kForever = 3600;

auto MakeAddress(int port) -> sockaddr_in {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  ::inet_pton(AF_INET, kLoopback, &address.sin_addr);
  return address;
}

auto Bind(int descriptor, int port) -> bool {
  const auto address = MakeAddress(port);
  return ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) == 0;
}

auto PortOf(int descriptor) -> int {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

auto AddressText(int port) -> std::string {
  return std::string(kLoopback) + ":" + std::to_string(port);
}

auto PortIsFree(int port, int type) -> bool {
  const int descriptor = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const bool free = Bind(descriptor, port);
  ::close(descriptor);
  return free;
}

// The first of `count` ports in a row that are free for TCP and UDP. They are
// below those that the kernel gives to outgoing connections.
auto FreePorts(int count) -> int {
  static std::mt19937 random{std::random_device{}()};
  static std::set<int> given;
  std::uniform_int_distribution<int> ports(10'000, 32'000);
  while (true) {
    const int first = ports(random);
    bool free = true;
    for (int port = first; port < first + count; ++port) {
      free = free && given.count(port) == 0 && PortIsFree(port, SOCK_STREAM) &&
             PortIsFree(port, SOCK_DGRAM);
    }
    if (!free) continue;
    for (int i = 0; i < count; ++i) given.insert(first + i);
    return first;
  }
}

auto NoDelay(int descriptor) -> void {
  const int on = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

auto Trim(std::string text) -> std::string {
  const auto begin = text.find_first_not_of(" \t\r");
  if (begin == std::string::npos) return "";
  const auto end = text.find_last_not_of(" \t\r");
  return text.substr(begin, end - begin + 1);
}

auto Lower(std::string text) -> std::string {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

auto ParseHead(const std::string& head, Message& message) -> void {
  std::size_t at = head.find("\r\n");
  message.first_line = head.substr(0, at);
  while (at != std::string::npos) {
    const auto begin = at + 2;
    at = head.find("\r\n", begin);
    const auto line =
        head.substr(begin, at == std::string::npos ? at : at - begin);
    const auto colon = line.find(':');
    if (colon == std::string::npos) continue;
    message.fields[Lower(line.substr(0, colon))] = Trim(line.substr(colon + 1));
  }
}

auto ReadChunks(Channel& channel, double until, Message& message) -> void {
  auto& input = channel.Input();
  while (true) {
    auto end = input.find("\r\n");
    while (end == std::string::npos) {
      if (!channel.Receive(until - Now())) return;
      end = input.find("\r\n");
    }
    const auto size = std::strtoul(input.c_str(), nullptr, 16);
    while (input.size() < end + 2 + size + 2) {
      if (!channel.Receive(until - Now())) {
        message.body += input.substr(std::min(end + 2, input.size()));
        return;
      }
    }
    message.body += input.substr(end + 2, size);
    input.erase(0, end + 2 + size + 2);
    if (size == 0) {
      message.complete = true;
      return;
    }
  }
}

auto QueryField(const std::string& query, const std::string& name)
    -> std::string {
  std::size_t begin = 0;
  while (begin < query.size()) {
    const auto end = std::min(query.find('&', begin), query.size());
    const auto part = query.substr(begin, end - begin);
    if (part.rfind(name + "=", 0) == 0) return part.substr(name.size() + 1);
    begin = end + 1;
  }
  return "";
}

auto SendResponse(Channel& channel, int status, const std::string& fields,
                  const std::string& body) -> bool {
  return channel.Send("HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
                      "Content-Length: " + std::to_string(body.size()) +
                      "\r\n\r\n" + body);
}

}  // namespace

auto Now() -> double {
  static const auto began = std::chrono::steady_clock::now();
  const std::chrono::duration<double> passed =
      std::chrono::steady_clock::now() - began;
  return passed.count();
}

auto SleepFor(double seconds) -> void {
  if (seconds <= 0) return;
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

auto SleepUntil(double time) -> void { SleepFor(time - Now()); }

auto Trouble() -> bool {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

auto Recorder::Line(const std::string& text) -> void {
  std::array<char, 32> time{};
  std::snprintf(time.data(), time.size(), "%8.3f s  ", Now());
  const std::lock_guard<std::mutex> lock(mutex_);
  file_ << time.data();
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte >= 0x20 && byte < 0x7f) {
      file_ << c;
    } else {
      std::array<char, 8> hex{};
      std::snprintf(hex.data(), hex.size(), "\\x%02x",
                    static_cast<unsigned>(byte));
      file_ << hex.data();
    }
  }
  file_ << "\n" << std::flush;
}

Channel::Channel(Channel&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1)),
      ended_(other.ended_),
      input_(std::move(other.input_)) {}

auto Channel::Send(const std::string& bytes) -> bool {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const auto count = ::send(descriptor_, bytes.data() + sent,
                              bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

auto Channel::Receive(double seconds) -> bool {
  if (descriptor_ < 0 || ended_) return false;
  pollfd ready{descriptor_, POLLIN, 0};
  const auto wait = static_cast<int>(std::max(seconds, 0.0) * 1000);
  if (::poll(&ready, 1, wait) != 1) return false;
  std::array<char, 65'536> bytes{};
  const auto count = ::recv(descriptor_, bytes.data(), bytes.size(), 0);
  if (count <= 0) {
    ended_ = true;
    return false;
  }
  input_.append(bytes.data(), static_cast<std::size_t>(count));
  return true;
}

auto Channel::Close() -> void {
  if (descriptor_ >= 0) ::close(descriptor_);
  descriptor_ = -1;
}

auto Channel::Reset() -> void {
  const linger at_once{1, 0};
  ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  Close();
}

auto Message::Field(const std::string& name) const -> std::string {
  const auto found = fields.find(name);
  return found == fields.end() ? "" : found->second;
}

auto Message::Status() const -> int {
  if (first_line.size() < 12) return 0;
  return std::atoi(first_line.c_str() + 9);
}

auto ReadMessage(Channel& channel, double seconds, bool response)
    -> std::optional<Message> {
  const auto until = Now() + seconds;
  auto& input = channel.Input();
  auto end = input.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!channel.Receive(until - Now())) return std::nullopt;
    end = input.find("\r\n\r\n");
  }
  Message message;
  ParseHead(input.substr(0, end), message);
  input.erase(0, end + 4);
  if (!message.Field("transfer-encoding").empty()) {
    ReadChunks(channel, until, message);
    return message;
  }
  const auto length = message.Field("content-length");
  if (length.empty() && response) {
    while (channel.Receive(until - Now())) {
    }
    message.body = std::exchange(input, "");
    message.complete = channel.Ended();
    return message;
  }
  const auto size = std::strtoul(length.c_str(), nullptr, 10);
  while (input.size() < size && channel.Receive(until - Now())) {
  }
  message.complete = input.size() >= size;
  message.body = input.substr(0, size);
  input.erase(0, std::min<std::size_t>(size, input.size()));
  return message;
}

Listener::Listener(std::function<void(Channel&)> serve)
    : serve_(std::move(serve)) {
  descriptor_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  Bind(descriptor_, 0);
  port_ = PortOf(descriptor_);
  ::listen(descriptor_, 256);
  accepting_ = std::thread([this] { Accept(); });
}

auto Listener::Address() const -> std::string { return AddressText(port_); }

auto Listener::Accept() -> void {
  while (!stopped_) {
    pollfd ready{descriptor_, POLLIN, 0};
    if (::poll(&ready, 1, 20) != 1) continue;
    const int channel = ::accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
    if (channel < 0) continue;
    NoDelay(channel);
    const std::lock_guard<std::mutex> lock(mutex_);
    if (dark_) {
      ::close(channel);
      continue;
    }
    channels_.insert(channel);
    threads_.emplace_back([this, channel] {
      Channel served(channel);
      serve_(served);
      const std::lock_guard<std::mutex> ended(mutex_);
      channels_.erase(channel);
      served.Close();
    });
  }
}

auto Listener::SetDark(bool dark) -> void {
  const std::lock_guard<std::mutex> lock(mutex_);
  dark_ = dark;
  if (!dark) return;
  for (const int channel : channels_) ::shutdown(channel, SHUT_RDWR);
}

auto Listener::Stop() -> void {
  if (stopped_.exchange(true)) return;
  accepting_.join();
  ::close(descriptor_);
  std::vector<std::thread> threads;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const int channel : channels_) ::shutdown(channel, SHUT_RDWR);
    threads = std::move(threads_);
  }
  for (auto& thread : threads) thread.join();
}

Store::Store() : listener_([this](Channel& channel) { Serve(channel); }) {}

auto Store::Put(const std::string& kind, const std::string& name,
                const std::string& spec) -> void {
  const std::lock_guard<std::mutex> lock(mutex_);
  PutLocked(kind, name, spec);
}

auto Store::PutLocked(const std::string& kind, const std::string& name,
                      const std::string& spec) -> void {
  objects_[kind][name] = {++revision_, spec};
  changes_.push_back({revision_, kind, name, false});
  changed_.notify_all();
}

auto Store::Remove(const std::string& kind, const std::string& name) -> void {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (objects_[kind].erase(name) == 0) return;
  changes_.push_back({++revision_, kind, name, true});
  changed_.notify_all();
}

auto Store::Encode(const std::string& kind, const std::string& name) const
    -> std::string {
  const auto& object = objects_.at(kind).at(name);
  return R"({"metadata":{"name":")" + name + R"(","rev":)" +
         std::to_string(object.revision) +
         R"(,"created":1,"finalizers":[],"deleting":false},"spec":)" +
         object.spec + R"(,"status":null})";
}

auto Store::Events(const std::string& kind, std::int64_t after) const
    -> std::string {
  std::string events;
  for (const auto& change : changes_) {
    if (change.kind != kind || change.revision <= after) continue;
    const auto& objects = objects_.at(kind);
    std::string object;
    if (change.deleted) {
      object = R"({"metadata":{"name":")" + change.name + R"(","rev":)" +
               std::to_string(change.revision) + "}}";
    } else if (objects.count(change.name) > 0) {
      object = Encode(kind, change.name);
    } else {
      continue;
    }
    if (!events.empty()) events += ",";
    events += R"({"object":)" + object + R"(,"deleted":)" +
              (change.deleted ? "true" : "false") + "}";
  }
  return events;
}

auto Store::Serve(Channel& channel) -> void {
  while (const auto request = ReadMessage(channel, kForever, false)) {
    int status = 200;
    const auto body = Handle(*request, status);
    if (!SendResponse(channel, status, "Content-Type: application/json\r\n",
                      body)) {
      return;
    }
  }
}

auto Store::Handle(const Message& request, int& status) -> std::string {
  const auto space = request.first_line.find(' ');
  const auto method = request.first_line.substr(0, space);
  auto target = request.first_line.substr(space + 1);
  target = target.substr(0, target.find(' '));
  const auto question = target.find('?');
  const auto query =
      question == std::string::npos ? "" : target.substr(question + 1);
  const std::string root = "/-/objects/";
  const auto path = target.substr(
      root.size(), std::min(question, target.size()) - root.size());
  const auto slash = path.find('/');
  const auto kind = path.substr(0, slash);
  const auto name = slash == std::string::npos ? "" : path.substr(slash + 1);
  std::unique_lock<std::mutex> lock(mutex_);
  const auto& objects = objects_[kind];
  if (method != "GET") {
    return HandleChange(method, kind, name, query, request.body, status);
  }
  if (!name.empty()) {
    if (objects.count(name) > 0) return Encode(kind, name);
    status = 404;
    return "{}";
  }
  const auto position = [this] { return std::to_string(revision_); };
  const auto watch = QueryField(query, "watch");
  if (!watch.empty()) {
    const auto after = std::atoll(watch.c_str());
    const auto wait = std::chrono::milliseconds(
        std::atoll(QueryField(query, "waitMs").c_str()));
    changed_.wait_for(lock, wait, [&] { return !Events(kind, after).empty(); });
    return R"({"events":[)" + Events(kind, after) + R"(],"asOf":)" +
           position() + "}";
  }
  std::string items;
  for (const auto& [key, object] : objects) {
    if (!items.empty()) items += ",";
    items += Encode(kind, key);
  }
  return R"({"items":[)" + items + R"(],"hasMore":false,"asOf":)" + position() +
         "}";
}

auto Store::HandleChange(const std::string& method, const std::string& kind,
                         const std::string& path_name, const std::string& query,
                         const std::string& body, int& status) -> std::string {
  auto& objects = objects_[kind];
  const auto json = Json::parse(body, nullptr, false);
  const auto metadata = json.is_object()
                            ? json.value("metadata", Json::object())
                            : Json::object();
  const bool creates = method == "POST";
  const auto name = creates ? metadata.value("name", std::string()) : path_name;
  const auto found = objects.find(name);
  if (creates == (found != objects.end())) {
    status = creates ? 409 : 404;
    return creates ? Encode(kind, name) : "{}";
  }
  auto condition = metadata.value("rev", std::int64_t{0});
  const auto in_query = QueryField(query, "rev");
  if (!in_query.empty()) condition = std::atoll(in_query.c_str());
  if (!creates && condition != 0 && condition != found->second.revision) {
    status = 409;
    return Encode(kind, name);
  }
  if (method == "DELETE") {
    objects.erase(found);
    changes_.push_back({++revision_, kind, name, true});
    changed_.notify_all();
    return "{}";
  }
  PutLocked(kind, name, json.value("spec", Json::object()).dump());
  return Encode(kind, name);
}

Upstream::Upstream(Store& store, Recorder& record, UpstreamPlan plan,
                   Handler handler)
    : store_(store),
      record_(record),
      plan_(std::move(plan)),
      handler_(std::move(handler)),
      started_ms_(std::chrono::duration_cast<std::chrono::milliseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count()),
      listener_([this](Channel& channel) { Serve(channel); }) {
  for (const auto& model : plan_.models) held_[model];
  Register("ready");
}

auto Upstream::HeldModels() const -> Json {
  auto models = Json::array();
  for (const auto& [name, adapters] : held_) {
    models.push_back({{"name", name}, {"version", 1}, {"adapters", adapters}});
  }
  return models;
}

auto Upstream::Register(const std::string& state) -> void {
  const std::lock_guard<std::mutex> lock(mutex_);
  state_ = state;
  Json entry{{"service", plan_.service},
             {"addr", listener_.Address()},
             {"zone", "za"},
             {"version", "v1"},
             {"slots", plan_.slots},
             {"state", state},
             {"coldLeftMs", 0},
             {"seq", sequence_},
             {"born", started_ms_}};
  if (!plan_.models.empty()) entry["models"] = HeldModels();
  store_.Put("servers", plan_.id, entry.dump());
}

auto Upstream::Runs() const -> std::vector<Run> {
  const std::lock_guard<std::mutex> lock(mutex_);
  return runs_;
}

Upstream::~Upstream() {
  listener_.Stop();
  for (auto& thread : later_) thread.join();
}

auto Upstream::CountAdapters() const -> std::size_t {
  std::size_t count = 0;
  for (const auto& [model, adapters] : held_) count += adapters.size();
  return count;
}

auto Upstream::AdapterCount() const -> std::size_t {
  const std::lock_guard<std::mutex> lock(mutex_);
  return CountAdapters();
}

auto Upstream::DelayOrder(const std::string& adapter, double seconds) -> void {
  const std::lock_guard<std::mutex> lock(mutex_);
  delayed_adapter_ = adapter;
  delay_ = seconds;
}

auto Upstream::Crash(double seconds) -> void {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    held_.clear();
    sequence_ = 0;
    started_ms_ += 1000;
  }
  record_.Line(plan_.id + " crashes");
  listener_.SetDark(true);
  SleepFor(seconds);
  listener_.SetDark(false);
  Register("ready");
  record_.Line(plan_.id + " serves again, empty, with seq 0");
}

// Carries an order out at once.
auto Upstream::TakeOrder(const Json& order, int& status) -> void {
  status = 400;
  if (!order.is_object()) return;
  const auto model = order.value("model", std::string());
  const auto adapter = order.value("adapter", std::string());
  const bool load = order.value("op", std::string()) == "load";
  if (!adapter.empty() && held_.count(model) == 0) return;
  status = 409;
  if (order.value("precondition", sequence_) != sequence_) return;
  status = 200;
  const bool holds = held_.count(model) > 0 &&
                     (adapter.empty() || held_[model].count(adapter) > 0);
  if (load == holds) return;
  ++sequence_;
  status = load || adapter.empty() ? 202 : 200;
  if (adapter.empty()) {
    load ? void(held_[model]) : void(held_.erase(model));
  } else if (load) {
    held_[model].insert(adapter);
    if (CountAdapters() > adapter_slots_) ++overloads_;
  } else {
    held_[model].erase(adapter);
  }
}

auto Upstream::Delays(const Json& order) -> bool {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (delayed_adapter_.empty() || !order.is_object() ||
      order.value("adapter", std::string()) != delayed_adapter_ ||
      order.value("op", std::string()) != "load") {
    return false;
  }
  delayed_adapter_.clear();
  has_delayed_ = true;
  if (!Trouble()) return false;
  record_.Line(plan_.id + " leaves an order unanswered: " + order.dump());
  later_.emplace_back([this, order, delay = delay_] {
    SleepFor(delay);
    int status = 0;
    std::size_t adapters = 0;
    {
      const std::lock_guard<std::mutex> late(mutex_);
      TakeOrder(order, status);
      adapters = CountAdapters();
    }
    record_.Line(plan_.id +
                 " takes up the late order: " + std::to_string(status) +
                 ", it now has " + std::to_string(adapters) + " adapters");
  });
  return true;
}

auto Upstream::Serve(Channel& channel) -> void {
  while (const auto request = ReadMessage(channel, kForever, false)) {
    if (!request->complete) return;
    const auto& line = request->first_line;
    const auto target = line.substr(line.find(' ') + 1);
    if (target.rfind("/-/", 0) == 0) {
      std::string answer;
      int status = 200;
      const auto order = Json::parse(request->body, nullptr, false);
      if (Delays(order)) return;
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (target.rfind("/-/order", 0) == 0) {
          TakeOrder(order, status);
          record_.Line(plan_.id + " is ordered " + request->body + ": " +
                       std::to_string(status) + ", it has " +
                       std::to_string(CountAdapters()) + " adapters");
        } else {
          answer = Json{{"phase", "colocated"}, {"models", HeldModels()},
                        {"busy", false},        {"seq", sequence_},
                        {"queued", 0},          {"active", 0},
                        {"kvUsed", 0},          {"kvTotal", 100'000},
                        {"handles", 0}}
                       .dump();
        }
      }
      if (status == 202 || (status == 200 && answer.empty())) Register(state_);
      if (!SendResponse(channel, status, "", answer)) return;
      continue;
    }
    const auto id = request->Field("request-id");
    record_.Line(plan_.id + " runs " + id + ": " + line);
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      runs_.push_back({Now(), id, line, request->fields, request->body});
    }
    if (handler_) {
      if (!handler_(channel, *request)) return;
      continue;
    }
    SleepFor(plan_.work);
    if (!SendResponse(
            channel, 200,
            "Request-Id: " + id + "\r\nServer-Seal: " + plan_.id + ".1\r\n",
            "answer to " + id)) {
      return;
    }
  }
}

Daemon::Daemon(Recorder& record, const std::string& folder, std::string name,
               const std::string& store)
    : record_(record),
      name_(std::move(name)),
      settings_(folder + "/" + name_ + ".json"),
      log_(folder + "/" + name_ + ".log"),
      callers_port_(FreePorts(1)),
      readiness_port_(FreePorts(1)) {
  const int first = FreePorts(2);
  const Json settings{
      {"nodeName", name_},
      {"role", "gateway"},
      {"machineClass", "front"},
      {"serves", {"front"}},
      {"ip", kLoopback},
      {"zone", "za"},
      {"region", "ra"},
      {"zones", {{"za", "ra"}}},
      {"listen",
       {{"front", AddressText(callers_port_)},
        {"ready", AddressText(readiness_port_)}}},
      {"portRange", {first, first + 1}},
      {"bootstrap", true},
      {"limits", {{"cpuShare", 0.25}, {"cores", 1}, {"ramMb", 260}}},
      {"heartbeatMs", 1200},
      {"bounds",
       {{"contactMs", 3000},
        {"drainMs", 2000},
        {"graceS", 8},
        {"leaseTtlMs", 3000},
        {"budgetRatio", 0.2},
        {"budgetWindowS", 10},
        {"budgetSlack", 58}}},
      {"provider", {{"addr", store}, {"form", "objects"}}}};
  std::ofstream(settings_) << settings.dump(2);
  Start();
}

Daemon::~Daemon() {
  if (Ended()) return;
  ::kill(process_, SIGKILL);
  ::waitpid(process_, &status_, 0);
}

// The command of deploy/system.toml, in the repository's root. Only calls that
// are safe in a child of a program with threads follow the fork.
auto Daemon::Start() -> void {
  std::string program = "target/daemon/dotterellugd";
  std::string argument = "--platform";
  std::string environment = "DOTTERELLUG_SETTINGS=" + settings_;
  std::array<char*, 3> arguments{program.data(), argument.data(), nullptr};
  std::array<char*, 2> variables{environment.data(), nullptr};
  process_ = ::fork();
  if (process_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log =
        ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::execve(program.c_str(), arguments.data(), variables.data());
    ::_exit(127);
  }
  record_.Line(name_ + " is started");
}

auto Daemon::Kill(int signal) -> void {
  record_.Line("signal " + std::to_string(signal) + " to " + name_);
  ::kill(process_, signal);
}

auto Daemon::Ended() -> bool {
  if (process_ < 0) return true;
  if (::waitpid(process_, &status_, WNOHANG) != process_) return false;
  process_ = -1;
  record_.Line(name_ + " has ended: " + HowEnded());
  return true;
}

auto Daemon::HowEnded() const -> std::string {
  if (WIFSIGNALED(status_)) {
    return "by signal " + std::to_string(WTERMSIG(status_));
  }
  return "with exit code " + std::to_string(WEXITSTATUS(status_));
}

auto Daemon::Ready() const -> bool {
  auto channel = ConnectTo(readiness_port_);
  if (!channel.Open()) return false;
  channel.Send("GET /-/readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
  const auto answer = ReadMessage(channel, 1, true);
  return answer && answer->Status() == 200;
}

auto Daemon::WaitReady(double seconds) const -> bool {
  const auto until = Now() + seconds;
  while (Now() < until) {
    if (Ready()) return true;
    SleepFor(0.05);
  }
  return false;
}

Folder::Folder() {
  std::string path =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (::mkdtemp(path.data()) != nullptr) path_ = path;
}

Folder::~Folder() {
  std::error_code ignored;
  if (!path_.empty()) std::filesystem::remove_all(path_, ignored);
}

auto ConnectTo(int port) -> Channel {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  NoDelay(descriptor);
  const auto address = MakeAddress(port);
  if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
    ::close(descriptor);
    return Channel(-1);
  }
  return Channel(descriptor);
}

auto Configuration(int adapters) -> std::string {
  const auto route = [](const char* name, const char* kind, const char* service,
                        int timeout, int attempts, bool resumable) {
    return Json{{"name", name},
                {"host", "review.example"},
                {"pathPrefix", std::string("/") + name + "/"},
                {"kind", kind},
                {"service", service},
                {"timeoutMs", timeout},
                {"goalMs", 400},
                {"gapTargetMs", 300},
                {"priority", 1},
                {"attempts", attempts},
                {"public", false},
                {"resumable", resumable}};
  };
  const Json model{{"name", "m1"},         {"weightsMb", 100.0}, {"loadS", 1.0},
                   {"adapters", adapters}, {"adapterMb", 12.0},  {"warmS", 0.5},
                   {"diskS", 0.6}};
  const Json engine{{"slots", 64},        {"kvCapacity", 100'000},
                    {"weightsMb", 300.0}, {"adapterSlots", 8},
                    {"loadsPerS", 1.6},   {"models", Json::array({model})}};
  const Json config{
      {"version", 1},
      {"routes",
       {route("once", "non_idempotent", "app", 4000, 1, false),
        route("read", "idempotent", "app", 4000, 2, false),
        route("stream", "stream", "llm", 15'000, 2, true)}},
      {"services",
       {{{"name", "app"}, {"healthPath", "/healthz"}, {"maxConns", 110}},
        {{"name", "llm"},
         {"healthPath", "/healthz"},
         {"maxConns", 370},
         {"engine", engine}}}},
      {"tenants", Json::array({{{"name", "ten"},
                                {"apiKeys", {"k1"}},
                                {"ratePerS", 0},
                                {"burst", 0}}})},
      {"limits",
       {{"maxHeaderBytes", 16'384},
        {"maxBodyBytes", 4'194'304},
        {"headerTimeoutMs", 3000},
        {"idleTimeoutMs", 15'000}}}};
  return config.dump();
}

auto Encode(const CallerRequest& request) -> std::string {
  auto bytes =
      "POST " + request.path +
      " HTTP/1.1\r\nHost: review.example\r\nRequest-Id: " + request.id +
      "\r\nDeadline-Ms: " + std::to_string(request.wait_ms) +
      "\r\nAuthorization: Token k1\r\n" + request.extra;
  if (!request.model.empty()) {
    bytes += "Model: " + request.model +
             "\r\nToken-Count: 100,50\r\nPrompt-Prefix: aa:60,bb:40\r\n";
  }
  if (request.close) bytes += "Connection: close\r\n";
  return bytes + "Content-Length: " + std::to_string(request.body.size()) +
         "\r\n\r\n" + request.body;
}

}  // namespace review
