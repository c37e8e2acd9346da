// Cost of messages between daemons on the loopback interface, as CSV:
// processor time of client and server together per request, and bytes on the
// wire (HTTP headers included) per kind of message.

#include <sys/resource.h>

#include <iostream>
#include <thread>

#include "peer/tests/fault_relay.h"
#include "peer/tests/request_fixture.h"
#include "peer/tests/sample_messages.h"

namespace dotterellug {
namespace {

using testing::FaultRelay;
using testing::Fixture;
using testing::kLimit;
using testing::SampleMessages;

auto ProcessorMicroseconds() -> double {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto micros = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) * 1e6 +
           static_cast<double>(time.tv_usec);
  };
  return micros(usage.ru_utime) + micros(usage.ru_stime);
}

auto Row(const std::string& measure, const std::string& name, double value,
         const std::string& unit) -> void {
  std::cout << measure << "," << name << "," << value << "," << unit << "\n";
}

struct Load {
  std::string name;
  int threads;
  int requests_per_thread;
  bool keep_connections;
};

// Processor time of one request under the load, in microseconds.
auto MeasureRequests(const Load& load) -> double {
  Fixture fixture;
  auto client = testing::Client();
  const auto message =
      EncodeBudgetMessage(SampleMessages(1).Budget(2)).parameters;
  const auto begin = ProcessorMicroseconds();
  std::vector<std::thread> threads;
  threads.reserve(load.threads);
  for (int index = 0; index < load.threads; ++index) {
    threads.emplace_back([&] {
      for (int round = 0; round < load.requests_per_thread; ++round) {
        static_cast<void>(
            client.Call(fixture.Target(), "echo", message, kLimit));
        if (!load.keep_connections) client.Forget(InstanceId{"b"});
      }
    });
  }
  for (auto& thread : threads) thread.join();
  const auto spent = ProcessorMicroseconds() - begin;
  const auto per_request = spent / fixture.runs;
  Row("processor_time", load.name, per_request, "us/request");
  Row("throughput", load.name, 1e6 / per_request, "requests/s/core");
  return per_request;
}

// Prints the bytes of requests and their responses.
auto MeasureBytes(const std::vector<EncodedMessage>& messages) -> void {
  PeerMethodTable methods;
  for (const auto& message : messages) {
    methods[message.method] = [](const MemberId&, const nlohmann::json&) {
      return Result<nlohmann::json>(nlohmann::json::object());
    };
  }
  PeerRequestServerOptions options;
  options.listen = {"127.0.0.1", 0};
  options.self = {InstanceId{"b"}, Incarnation{3}};
  const auto server =
      *PeerRequestServer::Start(options, testing::Key(), methods);
  server->SetPeers({InstanceId{"a"}});
  std::size_t request_bytes = 0;
  std::size_t response_bytes = 0;
  auto client = testing::Client();
  FaultRelay relay([&](const testing::LoopbackSocket& socket) {
    for (auto request = socket.ReadHttpMessage(); !request.empty();
         request = socket.ReadHttpMessage()) {
      const auto response = FaultRelay::Forward(server->Port(), request);
      request_bytes = request.size();
      response_bytes = response.size();
      socket.Write(response);
    }
  });
  const PeerTarget target{
      InstanceId{"b"}, {"127.0.0.1", relay.Port()}, Incarnation{3}};
  for (const auto& message : messages) {
    const auto result =
        client.Call(target, message.method, message.parameters, kLimit);
    if (!result) std::cerr << result.error().Text() << "\n";
    Row("request_bytes", message.method, static_cast<double>(request_bytes),
        "bytes");
    Row("response_bytes", message.method, static_cast<double>(response_bytes),
        "bytes");
  }
  client.Forget(InstanceId{"b"});
}

auto MeasureDatagrams() -> void {
  auto message = SampleMessages(3).Membership();
  Datagram datagram;
  datagram.header = {{InstanceId{"entry-1"}, Incarnation{1700000000}},
                     InstanceId{"entry-2"},
                     Incarnation{1700000000},
                     ReceiverEpoch{1} << 63,
                     100'000};
  datagram.sender_epoch = ReceiverEpoch{1} << 63;
  const auto change = message.changes.front();
  message.changes.clear();
  for (const int changes : {0, 1, 5}) {
    while (static_cast<int>(message.changes.size()) < changes) {
      message.changes.push_back(change);
    }
    datagram.body = EncodeMemberMessage(message);
    Row("datagram_bytes", "probe with " + std::to_string(changes) + " changes",
        static_cast<double>(EncodeDatagram(datagram, testing::Key())->size()),
        "bytes");
  }
}

auto Run() -> void {
  std::cout << "measure,name,value,unit\n";
  const auto kept =
      MeasureRequests({"1 thread, kept connection", 1, 5000, true});
  MeasureRequests({"2 threads, kept connections", 2, 2500, true});
  const auto opened =
      MeasureRequests({"1 thread, new connections", 1, 1000, false});
  Row("ratio", "new to kept connections", opened / kept, "");
  std::vector<EncodedMessage> messages;
  SampleMessages samples(2);
  for (std::size_t kind = 0; kind < BudgetMethods().size(); ++kind) {
    messages.push_back(EncodeBudgetMessage(samples.Budget(kind)));
  }
  for (std::size_t kind = 0; kind < ClaimMethods().size(); ++kind) {
    messages.push_back(EncodeClaimMessage(samples.Claim(kind)));
  }
  messages.push_back({kPullObjectMethod,
                      EncodeFields(ObjectPull{"config/section/0123456789"})});
  MeasureBytes(messages);
  MeasureDatagrams();
}

}  // namespace
}  // namespace dotterellug

auto main() -> int {
  dotterellug::Run();
  return 0;
}
