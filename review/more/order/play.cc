// A stream is resumed at a second engine. That engine answers without a length
// and ends as it begins to write. Looks whether the caller can take the stream
// for a complete one.
#include <iostream>
#include <memory>

#include "../../standins/world.h"

namespace review {
namespace {

constexpr int kEvents = 8;
// Events before the first engine breaks off.
constexpr int kFirstPart = 3;

auto Event(int number) -> std::string {
  return "id: " + std::to_string(number) + "\ndata: piece " +
         std::to_string(number) + "\n\n";
}

auto Chunk(const std::string& bytes) -> std::string {
  std::array<char, 16> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  return size.data() + bytes + "\r\n";
}

auto Head(const Message& request, const std::string& engine, bool chunked)
    -> std::string {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + request.Field("request-id") +
         "\r\nServer-Seal: " + engine +
         ".1\r\nContent-Type: text/event-stream\r\n" +
         (chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n");
}

// The engines, in the order in which they get the request.
class Engines {
 public:
  explicit Engines(Recorder& record) : record_(record) {}

  auto Answer(Channel& channel, const Message& request) -> bool {
    const int turn = ++turns_;
    const auto after = std::atoi(request.Field("last-event-id").c_str());
    record_.Line("attempt " + std::to_string(turn) +
                 ", Last-Event-Id: " + std::to_string(after));
    if (turn == 1) {
      channel.Send(Head(request, "first", true));
      for (int i = 1; i <= kFirstPart; ++i) {
        channel.Send(Chunk(Event(i)));
        SleepFor(0.03);
      }
      record_.Line("the first engine resets its channel after event " +
                   std::to_string(kFirstPart));
      channel.Reset();
      return false;
    }
    // Its answer has no length and ends with its channel.
    channel.Send(Head(request, "second", false));
    SleepFor(0.03);
    if (Trouble()) {
      record_.Line("the second engine ends before its first event");
      return false;
    }
    for (int i = after + 1; i <= kEvents; ++i) {
      channel.Send(Event(i));
      SleepFor(0.03);
    }
    return false;
  }

 private:
  Recorder& record_;
  std::atomic<int> turns_{0};
};

auto Play(Recorder& record) -> int {
  const Folder folder;
  Store store;
  store.Put("config", "main", Configuration(0));
  Engines engines(record);
  const auto answer = [&](Channel& channel, const Message& request) {
    return engines.Answer(channel, request);
  };
  Upstream first(store, record, {"i-llm0", "llm", 64, 0, {"m1"}}, answer);
  Upstream second(store, record, {"i-llm1", "llm", 64, 0, {"m1"}}, answer);
  Daemon daemon(record, folder.Path(), "front-1", store.Address());
  if (!daemon.WaitReady(15)) return kCouldNotRun;
  SleepFor(1);
  CallerRequest request;
  request.id = "chat-1";
  request.path = "/stream/chat";
  request.model = "m1";
  request.wait_ms = 9000;
  request.close = true;
  record.Line("chat-1 is sent; its stream has " + std::to_string(kEvents) +
              " events");
  auto channel = ConnectTo(daemon.CallersPort());
  channel.Send(Encode(request));
  const auto got = ReadMessage(channel, 10, true);
  if (!got || got->Status() != 200) return kCouldNotRun;
  int events = 0;
  while (got->body.find(Event(events + 1)) != std::string::npos) ++events;
  record.Line("the caller got " + std::to_string(events) + " of " +
              std::to_string(kEvents) + " events, and its stream is " +
              (got->complete ? "complete" : "cut off"));
  const bool broken = got->complete && events < kEvents;
  if (broken) record.Line("ORDER: it ends as complete before its last piece");
  return broken ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

auto main(int argc, char** argv) -> int {
  if (argc != 2) return review::kCouldNotRun;
  review::Recorder record(std::string(argv[1]) + "/record.txt");
  const int result = review::Play(record);
  std::cout << "result " << result << "\n";
  return result;
}
