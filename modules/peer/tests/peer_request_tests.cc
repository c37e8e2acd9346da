#include <gtest/gtest.h>

#include <atomic>
#include <functional>

#include "peer/peer.h"
#include "peer/request/request_head.h"

namespace dotterellug {
namespace {

constexpr auto kLimit = std::chrono::seconds(20);

auto Key(char digit = '1') -> FleetKey {
  return *FleetKey::Parse(std::string(64, digit));
}

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

auto Client(const char* name = "a", std::int64_t incarnation = 1,
            char key = '1') -> PeerRequestClient {
  PeerRequestClientOptions options;
  options.self = {InstanceId{name}, Incarnation{incarnation}};
  return PeerRequestClient(options, Key(key));
}

// Guards against values that change on the way through two JSON libraries.
TEST(PeerRequest, ReturnsTheResultOfTheMethod) {
  Fixture fixture;
  auto client = Client();
  const nlohmann::json in{{"i", -9007199254740993},
                          {"u", 18446744073709551615u},
                          {"d", 0.1},
                          {"s", "ü\"\\"},
                          {"a", {1, nullptr, true}}};
  for (int round = 0; round < 3; ++round) {
    const auto result = client.Call(fixture.Target(), "echo", in, kLimit);
    ASSERT_TRUE(result) << result.error().Text();
    EXPECT_EQ((nlohmann::json{{"from", "a"}, {"in", in}}), *result);
  }
  EXPECT_EQ(3, fixture.runs);
  EXPECT_EQ(1, fixture.server->Counters().Of(PeerRefusal::kStaleEpoch));
}

// Guards against error kinds that are lost between daemons.
TEST(PeerRequest, ReturnsErrorsWithTheirKind) {
  Fixture fixture;
  auto client = Client();
  const auto call = [&](const char* method) {
    return client
        .Call(fixture.Target(), method, nlohmann::json::object(), kLimit)
        .error();
  };
  EXPECT_EQ("share changed; read it again", call("fail").Text());
  EXPECT_EQ(ErrorKind::kConflict, call("fail").kind);
  EXPECT_EQ(ErrorKind::kOutcomeUnknown, call("throw").kind);
  EXPECT_EQ(ErrorKind::kProtocol, call("absent").kind) << call("absent").Text();
}

// A request made by hand, to be sent unchanged, altered or repeatedly.
struct RawRequest {
  MessageHeader header;
  std::string body = R"({"jsonrpc":"2.0","id":1,"method":"echo","params":{}})";

  auto Send(const Fixture& fixture, const FleetKey& key) const -> ResponseHead {
    const auto head = EncodeRequestHead(header);
    const auto mac = EncodeMac(key.Mac(MacPurpose::kRequest, head, body));
    HttpExchange exchange;
    const auto result = exchange.Post(fixture.Target().address, head, mac, body,
                                      1 << 20, kLimit);
    EXPECT_EQ(HttpExchangeResult::Kind::kResponse, result.kind);
    return ParseResponseHead(result.head)
        .value_or(ResponseHead{{}, 0, ParseRefusal(result.body)});
  }
};

// Guards against requests that run although they are forged, replayed, or meant
// for another process.
TEST(PeerRequest, RefusesAndCountsWhatItCannotTrust) {
  Fixture fixture;
  RawRequest good;
  good.header = {{InstanceId{"a"}, Incarnation{2}}, InstanceId{"b"}, {}, 0, 1};
  good.header.receiver_epoch = good.Send(fixture, Key()).epoch;
  ASSERT_EQ(PeerRefusal::kNone, good.Send(fixture, Key()).refusal);
  struct Case {
    PeerRefusal expected;
    std::function<void(RawRequest*)> change;
    char key;
  };
  const std::vector<Case> cases{
      {PeerRefusal::kReplay, [](RawRequest*) {}, '1'},
      {PeerRefusal::kReplay,
       [](RawRequest* r) { r->header.receiver_epoch = 9; }, '1'},
      {PeerRefusal::kBadMac, [](RawRequest* r) { r->header.sequence = 9; },
       '2'},
      {PeerRefusal::kUnknownPeer,
       [](RawRequest* r) { r->header.sender.instance = InstanceId{"x"}; }, '1'},
      {PeerRefusal::kWrongReceiver,
       [](RawRequest* r) { r->header.receiver = InstanceId{"c"}; }, '1'},
      {PeerRefusal::kOldIncarnation,
       [](RawRequest* r) { r->header.sender.incarnation = Incarnation{1}; },
       '1'},
      {PeerRefusal::kReceiverRestarted,
       [](RawRequest* r) {
         r->header.sequence = 10;
         r->header.receiver_incarnation = Incarnation{2};
       },
       '1'},
      {PeerRefusal::kStaleEpoch,
       [](RawRequest* r) {
         r->header.sequence = 11;
         r->header.receiver_epoch = 7;
       },
       '1'},
      {PeerRefusal::kMalformed,
       [](RawRequest* r) {
         r->header.sequence = 12;
         r->body = std::string(40, '[') + std::string(40, ']');
       },
       '1'},
      {PeerRefusal::kTooLarge,
       [](RawRequest* r) { r->body.assign((std::size_t{4} << 20) + 1, ' '); },
       '1'},
  };
  for (const auto& test : cases) {
    auto request = good;
    test.change(&request);
    const auto before = fixture.server->Counters().Of(test.expected);
    EXPECT_EQ(test.expected, request.Send(fixture, Key(test.key)).refusal);
    EXPECT_EQ(before + 1, fixture.server->Counters().Of(test.expected))
        << RefusalName(test.expected);
  }
  EXPECT_EQ(1, fixture.runs);
}

// Guards against a client that reports "not done" without proof.
TEST(PeerRequest, TakesAnUnauthenticRefusalAsUnknown) {
  Fixture fixture;
  auto client = Client("a", 1, '2');
  const auto result =
      client.Call(fixture.Target(), "echo", nlohmann::json::object(), kLimit);
  EXPECT_EQ(ErrorKind::kOutcomeUnknown, result.error().kind);
  EXPECT_EQ(1, fixture.server->Counters().Of(PeerRefusal::kBadMac));
}

// Guards against one sender that occupies all threads of the server.
TEST(PeerRequest, RefusesRequestsAboveTheBound) {
  PeerRequestServerOptions options;
  options.max_concurrent = 0;
  Fixture fixture(3, 0, options);
  auto client = Client();
  const auto result =
      client.Call(fixture.Target(), "echo", nlohmann::json::object(), kLimit);
  EXPECT_EQ(ErrorKind::kUnavailable, result.error().kind);
  EXPECT_EQ(1, fixture.server->Counters().Of(PeerRefusal::kBusy));
}

}  // namespace
}  // namespace dotterellug
