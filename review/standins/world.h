#pragma once

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

// Stand-ins of the users' platform for the scripts of the review: the store,
// upstreams, callers, and dotterellugd as processes of their own. They use real
// sockets on loopback addresses and the real clock.
namespace review {

using Json = nlohmann::json;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

// Seconds since the program began.
auto Now() -> double;
auto SleepFor(double seconds) -> void;
auto SleepUntil(double time) -> void;
// Whether the script plays the disruption; TROUBLE=0 leaves it out.
auto Trouble() -> bool;

// Writes record.txt. Thread-safe.
class Recorder {
 public:
  explicit Recorder(const std::string& path) : file_(path) {}
  auto Line(const std::string& text) -> void;

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

// A connected socket that is closed with the object.
class Channel {
 public:
  explicit Channel(int descriptor) : descriptor_(descriptor) {}
  Channel(const Channel&) = delete;
  auto operator=(const Channel&) -> Channel& = delete;
  Channel(Channel&& other) noexcept;
  auto operator=(Channel&& other) -> Channel& = delete;
  ~Channel() { Close(); }

  auto Send(const std::string& bytes) -> bool;
  // Waits at most `seconds` for more input. False at the end or on a time-out.
  auto Receive(double seconds) -> bool;
  // Input that has not been used.
  auto Input() -> std::string& { return input_; }
  // Whether the peer closed or reset the channel.
  auto Ended() const -> bool { return ended_; }
  auto Open() const -> bool { return descriptor_ >= 0; }
  auto Descriptor() const -> int { return descriptor_; }
  auto Close() -> void;
  // Closes with a reset.
  auto Reset() -> void;

 private:
  int descriptor_ = -1;
  bool ended_ = false;
  std::string input_;
};

struct Message {
  std::string first_line;
  // Names in lower case.
  std::map<std::string, std::string> fields;
  std::string body;
  // Everything arrived that the head announced.
  bool complete = false;
  auto Field(const std::string& name) const -> std::string;
  // Of a response; 0 if there is none.
  auto Status() const -> int;
};

// Reads one request or response. A body has a length, comes in chunks or, in a
// response, ends with the channel.
auto ReadMessage(Channel& channel, double seconds, bool response)
    -> std::optional<Message>;

// Listens on a free port of 127.0.0.1 and serves each channel in a thread.
class Listener {
 public:
  explicit Listener(std::function<void(Channel&)> serve);
  ~Listener() { Stop(); }
  Listener(const Listener&) = delete;
  auto operator=(const Listener&) -> Listener& = delete;
  auto Address() const -> std::string;
  // Closes the listening socket and all channels, as when a process ends.
  auto Stop() -> void;
  // Closes all channels; until the next call with false, new ones too.
  auto SetDark(bool dark) -> void;

 private:
  auto Accept() -> void;

  std::function<void(Channel&)> serve_;
  int descriptor_ = -1;
  int port_ = 0;
  std::atomic<bool> stopped_{false};
  std::atomic<bool> dark_{false};
  std::thread accepting_;
  std::mutex mutex_;
  std::set<int> channels_;
  std::vector<std::thread> threads_;
};

// The platform's store: objects by kind and name, conditional changes, lists
// and watches, linearizable. A `spec` is kept as the text that was written.
class Store {
 public:
  Store();
  auto Address() const -> std::string { return listener_.Address(); }
  auto Put(const std::string& kind, const std::string& name,
           const std::string& spec) -> void;
  auto Remove(const std::string& kind, const std::string& name) -> void;

 private:
  struct Object {
    std::int64_t revision = 0;
    std::string spec;
  };
  struct Change {
    std::int64_t revision = 0;
    std::string kind;
    std::string name;
    bool deleted = false;
  };
  auto Serve(Channel& channel) -> void;
  auto Handle(const Message& request, int& status) -> std::string;
  auto HandleChange(const std::string& method, const std::string& kind,
                    const std::string& path_name, const std::string& query,
                    const std::string& body, int& status) -> std::string;
  auto PutLocked(const std::string& kind, const std::string& name,
                 const std::string& spec) -> void;
  auto Encode(const std::string& kind, const std::string& name) const
      -> std::string;
  auto Events(const std::string& kind, std::int64_t after) const -> std::string;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::int64_t revision_ = 1;
  std::map<std::string, std::map<std::string, Object>> objects_;
  std::vector<Change> changes_;
  Listener listener_;
};

// A request that an upstream began to run.
struct Run {
  double at = 0;
  std::string request;
  std::string line;
  std::map<std::string, std::string> fields;
  std::string body;
};

struct UpstreamPlan {
  std::string id;
  std::string service;
  int slots = 32;
  // Time of a request.
  double work = 0.015;
  // Models that an engine holds; empty for a plain service.
  std::vector<std::string> models;
};

// A server of the platform. It registers in the store, answers each request
// with its seal, and takes orders as an engine does.
class Upstream {
 public:
  // Answers a request in another way; returns whether the channel stays open.
  using Handler = std::function<bool(Channel&, const Message&)>;

  Upstream(Store& store, Recorder& record, UpstreamPlan plan,
           Handler handler = nullptr);
  auto Address() const -> std::string { return listener_.Address(); }
  // Registers or renews its entry.
  auto Register(const std::string& state) -> void;
  // Ends as a process does: all channels close.
  auto End() -> void { listener_.Stop(); }
  ~Upstream();
  Upstream(const Upstream&) = delete;
  auto operator=(const Upstream&) -> Upstream& = delete;
  auto Runs() const -> std::vector<Run>;
  auto Id() const -> const std::string& { return plan_.id; }
  // Takes adapters beyond `slots` as the end of its process.
  auto SetAdapterSlots(std::size_t slots) -> void { adapter_slots_ = slots; }
  // An order for this adapter that comes next gets no answer and is carried out
  // after `seconds`, if its precondition holds then.
  auto DelayOrder(const std::string& adapter, double seconds) -> void;
  // Whether that order has come.
  auto HasDelayed() const -> bool { return has_delayed_; }
  // Its process ends; one with the same id serves after `seconds`.
  auto Crash(double seconds) -> void;
  // Orders that would have taken more than its slots.
  auto Overloads() const -> int { return overloads_; }
  auto AdapterCount() const -> std::size_t;

 private:
  auto Serve(Channel& channel) -> void;
  auto HeldModels() const -> Json;
  auto CountAdapters() const -> std::size_t;
  auto TakeOrder(const Json& order, int& status) -> void;
  // Whether the order is one that is carried out late.
  auto Delays(const Json& order) -> bool;

  Store& store_;
  Recorder& record_;
  UpstreamPlan plan_;
  Handler handler_;
  std::int64_t started_ms_;
  mutable std::mutex mutex_;
  std::string state_ = "ready";
  std::vector<Run> runs_;
  std::int64_t sequence_ = 0;
  std::map<std::string, std::set<std::string>> held_;
  std::size_t adapter_slots_ = 1000;
  std::atomic<int> overloads_{0};
  std::atomic<bool> has_delayed_{false};
  std::string delayed_adapter_;
  double delay_ = 0;
  std::vector<std::thread> later_;
  Listener listener_;
};

// One dotterellugd process with a settings file of its own.
class Daemon {
 public:
  Daemon(Recorder& record, const std::string& folder, std::string name,
         const std::string& store);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  auto operator=(const Daemon&) -> Daemon& = delete;

  auto Start() -> void;
  auto Kill(int signal) -> void;
  // Whether it has ended; by itself, unless the script ended it.
  auto Ended() -> bool;
  auto HowEnded() const -> std::string;
  auto Ready() const -> bool;
  auto WaitReady(double seconds) const -> bool;
  auto CallersPort() const -> int { return callers_port_; }
  auto Name() const -> const std::string& { return name_; }

 private:
  Recorder& record_;
  std::string name_;
  std::string settings_;
  std::string log_;
  int callers_port_ = 0;
  int readiness_port_ = 0;
  pid_t process_ = -1;
  int status_ = 0;
};

// A temporary folder that is removed with the object.
class Folder {
 public:
  Folder();
  ~Folder();
  Folder(const Folder&) = delete;
  auto operator=(const Folder&) -> Folder& = delete;
  auto Path() const -> const std::string& { return path_; }

 private:
  std::string path_;
};

auto ConnectTo(int port) -> Channel;

// The configuration of a small deployment: the routes /once/ (non_idempotent)
// and /read/ (idempotent) to the service "app", /stream/ (resumable) to the
// engines "llm" with the model m1 and `adapters` adapters, and the key "k1" of
// the tenant "ten".
auto Configuration(int adapters) -> std::string;

struct CallerRequest {
  std::string id;
  std::string path;
  std::string body = "hello";
  std::string model;
  int wait_ms = 3000;
  // Further head lines, each with its end.
  std::string extra;
  bool close = false;
};
auto Encode(const CallerRequest& request) -> std::string;

}  // namespace review
