#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

// Small stand-ins of the platform's store, of an engine and of a machine that
// runs the daemon, for the cases of the second review. They use one thread for
// each connection and only loopback addresses.
namespace review {

using Json = nlohmann::json;

// Seconds since the program started.
auto Now() -> double;
auto SleepFor(double seconds) -> void;

// The file in which a case records what was sent, answered and run.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  Record(const Record&) = delete;
  auto operator=(const Record&) -> Record& = delete;

  // Writes a line with the time. Thread-safe.
  auto Line(const std::string& text) -> void;

 private:
  std::mutex mutex_;
  std::FILE* file_;
};

// A message of HTTP/1.1, with the names of its fields in lower case.
struct Message {
  std::string start;
  std::map<std::string, std::string> fields;
  std::string body;

  auto Field(const std::string& name) const -> std::string;
  // The status of a response; 0 if there is none.
  auto Status() const -> int;
};

// A connection that reads whole messages.
class Connection {
 public:
  explicit Connection(int descriptor) : descriptor_(descriptor) {}
  ~Connection();
  Connection(const Connection&) = delete;
  auto operator=(const Connection&) -> Connection& = delete;

  // Connects from `from`, or from any address if it is empty. Returns -1 if
  // that fails.
  static auto Connect(const std::string& address, int port,
                      const std::string& from = "") -> int;
  // Gives up when nothing arrives for so long.
  auto SetTimeout(double seconds) -> void;
  auto Read(Message& message) -> bool;
  auto Send(const std::string& bytes) -> bool;

 private:
  auto ReadMore() -> bool;

  int descriptor_;
  std::string input_;
};

// Accepts connections on a loopback address and serves each in a thread.
class Server {
 public:
  using Handler = std::function<void(Connection&)>;

  explicit Server(Handler handler);
  auto Port() const -> int { return port_; }

 private:
  int port_ = 0;
};

auto Response(int status, const std::string& fields, const std::string& body)
    -> std::string;

// The platform's store as PROTOCOL.md tells it: objects by kind and name,
// conditional changes, lists and watches.
class Store {
 public:
  explicit Store(Record& record);
  auto Address() const -> std::string;
  // What the operator and engines write.
  auto Put(const std::string& kind, const std::string& name, const Json& spec)
      -> void;
  // While it is down, it reads calls and answers none.
  auto SetDown(bool down) -> void;
  // The spec of an object; null if there is none.
  auto Spec(const std::string& kind, const std::string& name) -> Json;

 private:
  struct Change {
    std::int64_t revision;
    std::string kind;
    Json event;
  };

  auto Serve(Connection& connection) -> void;
  auto Answer(const Message& call) -> std::string;
  auto Change_(const std::string& method, const std::string& kind,
               const std::string& name, const Message& call) -> std::string;
  auto Watch(const std::string& kind, std::int64_t after, std::int64_t wait_ms)
      -> std::string;
  auto Write(const std::string& kind, const std::string& name, const Json& spec,
             bool deleted) -> Json;

  Record& record_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::int64_t revision_ = 1;
  std::map<std::string, std::map<std::string, Json>> objects_;
  std::vector<Change> changes_;
  std::atomic<bool> down_{false};
  Server server_;
};

// What an engine did with a request.
struct Run {
  std::string request;
  std::string tenant;
  double at;
};

// A sound engine of a plain service: answers each request after `work_ms`.
class Engine {
 public:
  Engine(Store& store, Record& record, std::string id, std::string service,
         std::string zone, double work_ms);
  auto Runs() -> std::vector<Run>;

 private:
  auto Serve(Connection& connection) -> void;

  Record& record_;
  std::string id_;
  double work_ms_;
  std::mutex mutex_;
  std::vector<Run> runs_;
  Server server_;
};

// One machine with the daemon of the deploy file.
class Machine {
 public:
  Machine(Record& record, const std::string& folder, std::string name,
          std::string ip, const std::string& zone, const std::string& store);
  ~Machine();
  Machine(const Machine&) = delete;
  auto operator=(const Machine&) -> Machine& = delete;

  auto Start(bool bootstrap) -> void;
  auto Signal(int number) -> void;
  // Waits for the end of the process; returns whether it came in time.
  auto WaitForEnd(double seconds) -> bool;
  auto Running() -> bool;
  auto Name() const -> const std::string& { return name_; }
  auto Ip() const -> const std::string& { return ip_; }
  // Whether it answers 200 to the balancer.
  auto Ready() const -> bool;
  // Anonymous memory that the process has in use, in kB.
  auto AnonymousKb() const -> std::int64_t;

 private:
  Record& record_;
  std::string folder_;
  std::string name_;
  std::string ip_;
  std::string zone_;
  std::string store_;
  int process_ = -1;
};

inline constexpr int kCallerPort = 8221;
inline constexpr int kReadyPort = 8224;

// Part of a loopback network that this process has for itself: "127.A.B.".
auto OwnNetwork() -> std::string;

// Waits until all machines are ready.
auto WaitUntilReady(const std::vector<Machine*>& machines, double seconds)
    -> bool;

// Exit codes of the cases.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

}  // namespace review
