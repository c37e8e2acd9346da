// A caller hides a request in the body of another one. The body is sent in a
// coding that does not tell where it ends.
#include <iostream>
#include <memory>

#include "../standins/world.h"

namespace review {
namespace {

auto Play(Recorder& record) -> int {
  const Folder folder;
  Store store;
  store.Put("config", "main", Configuration(0));
  Upstream service(store, record, {"i-app", "app", 64, 0.015, {}});
  Daemon daemon(record, folder.Path(), "front-1", store.Address());
  if (!daemon.WaitReady(15)) return kCouldNotRun;
  SleepFor(1);

  CallerRequest hidden;
  hidden.id = "hidden-1";
  hidden.path = "/once/hidden";
  CallerRequest outer;
  outer.id = "outer-1";
  outer.path = "/once/place";
  outer.body = Encode(hidden);
  auto bytes = Encode(outer);
  if (Trouble()) {
    // The same request with a coding in place of the length.
    const auto length =
        "Content-Length: " + std::to_string(outer.body.size()) + "\r\n";
    bytes.replace(bytes.find(length), length.size(),
                  "Transfer-Encoding: identity\r\n");
  }
  record.Line("a caller sends one request: " + bytes);
  auto channel = ConnectTo(daemon.CallersPort());
  channel.Send(bytes);
  while (const auto answer = ReadMessage(channel, 3, true)) {
    record.Line("answer " + answer->first_line + ", Request-Id: " +
                answer->Field("request-id") + ", body: " + answer->body);
  }
  int answered = 0;
  int smuggled = 0;
  for (const auto& run : service.Runs()) {
    if (run.request == outer.id) ++answered;
    if (run.request != hidden.id) continue;
    ++smuggled;
    record.Line("UNASKED: " + hidden.id +
                " ran, which no caller sent: " + run.line);
  }
  record.Line("outer requests that ran: " + std::to_string(answered) +
              ", hidden ones: " + std::to_string(smuggled));
  if (!Trouble() && answered != 1) return kCouldNotRun;
  return smuggled > 0 ? kBroken : kHeld;
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
