#pragma once

#include <atomic>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>

#include "peer/peer.h"

namespace dotterellug::testing {

// Ends only a failed run.
inline constexpr auto kLimit = std::chrono::seconds(20);

inline auto Key(char digit = '1') -> FleetKey {
  return *FleetKey::Parse(std::string(64, digit));
}

// A server with a counter of the calls of "echo".
struct Fixture {
  std::atomic<int> runs{0};
  std::unique_ptr<PeerRequestServer> server;

  explicit Fixture(std::int64_t incarnation = 3, std::uint16_t port = 0,
                   PeerRequestServerOptions options = {}) {
    options.listen = {"127.0.0.1", port};
    options.self = {InstanceId{"b"}, Incarnation{incarnation}};
    PeerMethodTable methods;
    methods["echo"] = [this](
                          const MemberId& sender,
                          const nlohmann::json& in) -> Result<nlohmann::json> {
      ++runs;
      return nlohmann::json{{"from", sender.instance.Value()}, {"in", in}};
    };
    methods["fail"] = [](const MemberId&,
                         const nlohmann::json&) -> Result<nlohmann::json> {
      return Fail(ErrorKind::kConflict, "share changed", "read it again");
    };
    methods["throw"] = [](const MemberId&,
                          const nlohmann::json&) -> Result<nlohmann::json> {
      throw std::runtime_error("broken");
    };
    server = std::move(*PeerRequestServer::Start(options, Key(), methods));
    server->SetPeers({InstanceId{"a"}});
  }
  auto Target() const -> PeerTarget {
    return {InstanceId{"b"}, {"127.0.0.1", server->Port()}, {}};
  }
};

inline auto Client(const char* name = "a", std::int64_t incarnation = 1,
                   char key = '1') -> PeerRequestClient {
  PeerRequestClientOptions options;
  options.self = {InstanceId{name}, Incarnation{incarnation}};
  return PeerRequestClient(options, Key(key));
}

}  // namespace dotterellug::testing
