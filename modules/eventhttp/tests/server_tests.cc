#include <gtest/gtest.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "eventhttp/eventhttp.h"

namespace dotterellug::eventhttp {
namespace {

// A client that sends raw bytes and collects what comes back.
class RawClient {
 public:
  RawClient(boost::asio::io_context& loop, const SocketAddress& address)
      : socket_(loop) {
    socket_.connect(
        {boost::asio::ip::make_address(address.host), address.port});
    Read();
  }

  auto Send(const std::string& bytes) -> void {
    boost::asio::write(socket_, boost::asio::buffer(bytes));
  }
  auto Close() -> void { socket_.close(); }
  auto Received() const -> const std::string& { return received_; }
  auto Ended() const -> bool { return ended_; }

 private:
  auto Read() -> void {
    socket_.async_read_some(
        boost::asio::buffer(buffer_),
        [this](boost::system::error_code error, std::size_t count) {
          if (error) {
            ended_ = true;
            return;
          }
          received_.append(buffer_.data(), count);
          Read();
        });
  }

  boost::asio::ip::tcp::socket socket_;
  std::array<char, 4096> buffer_{};
  std::string received_;
  bool ended_ = false;
};

class ServerTest : public ::testing::Test {
 protected:
  ServerTest()
      : server_(loop_, [this](std::shared_ptr<ServerSession> session,
                              ServerRequest request) {
          sessions_.push_back(session);
          requests_.push_back(request);
          if (answer_) session->Respond(200, {{"X-Id", "1"}}, request.body);
        }) {
    address_ = *server_.Listen({"127.0.0.1", 0});
  }

  auto Run(const std::function<bool()>& done) -> void {
    const auto end = MonotonicNow() + std::chrono::seconds(5);
    while (!done() && MonotonicNow() < end) {
      loop_.restart();
      loop_.run_one_for(std::chrono::milliseconds(20));
    }
  }
  auto Exchange(const std::string& bytes) -> std::string {
    RawClient client(loop_, address_);
    client.Send(bytes);
    Run([&] {
      return client.Received().find("\r\n\r\n") != std::string::npos;
    });
    return client.Received().substr(0, 12);
  }

  boost::asio::io_context loop_;
  bool answer_ = true;
  std::vector<std::shared_ptr<ServerSession>> sessions_;
  std::vector<ServerRequest> requests_;
  HttpServer server_;
  SocketAddress address_;
};

TEST_F(ServerTest, ReadsBodiesWithLengthAndInChunks) {
  Exchange("POST /a?b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
  Exchange(
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n");
  ASSERT_EQ(requests_.size(), 2U);
  EXPECT_EQ(requests_[0].head.target, "/a?b");
  EXPECT_EQ(requests_[0].body, "abc");
  EXPECT_EQ(requests_[1].body, "abc");
}

struct BadInput {
  std::string name;
  std::string bytes;
  std::string status;
};

class BadInputTest : public ServerTest,
                     public ::testing::WithParamInterface<BadInput> {};

// Guards against smuggled requests and input without bound.
TEST_P(BadInputTest, IsRejectedAndTheConnectionClosed) {
  server_.SetLimits(
      {2048, 1000, std::chrono::milliseconds(300), std::chrono::seconds(5)});
  RawClient client(loop_, address_);
  client.Send(GetParam().bytes);
  Run([&] { return client.Ended(); });
  EXPECT_EQ(client.Received().substr(9, 3), GetParam().status);
  EXPECT_TRUE(client.Ended());
  EXPECT_TRUE(requests_.empty());
}

INSTANTIATE_TEST_SUITE_P(
    Inputs, BadInputTest,
    ::testing::Values(
        BadInput{"TwoLengths",
                 "POST / HTTP/1.1\r\nContent-Length: 1\r\n"
                 "Content-Length: 2\r\n\r\nab",
                 "400"},
        BadInput{"LengthAndChunks",
                 "POST / HTTP/1.1\r\nContent-Length: 1\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                 "400"},
        BadInput{"Garbage", "\x01\x02 nothing\r\n\r\n", "400"},
        // From its header: none of the body is sent.
        BadInput{"LargeBody",
                 "POST / HTTP/1.1\r\nContent-Length: 1000000000\r\n\r\n",
                 "413"},
        BadInput{"LargeHeader",
                 "GET / HTTP/1.1\r\nX: " + std::string(5000, 'x') + "\r\n\r\n",
                 "431"},
        BadInput{"SlowHeader", "GET / HTTP/1.1\r\nHost:", "408"}),
    [](const auto& info) { return info.param.name; });

// A request with these fields, whose body is another request.
auto WithHiddenRequest(const std::string& fields) -> std::string {
  return "POST /outer HTTP/1.1\r\nHost: h\r\n" + fields +
         "\r\nPOST /hidden HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
}

// Guards against a request in the body of another one that is run, because the
// head does not tell in one way where the body ends.
INSTANTIATE_TEST_SUITE_P(
    Framing, BadInputTest,
    ::testing::Values(
        BadInput{"Identity",
                 WithHiddenRequest("Transfer-Encoding: identity\r\n"), "400"},
        BadInput{"OtherCase",
                 WithHiddenRequest("tRANSFER-eNCODING: Identity\r\n"), "400"},
        BadInput{"Gzip", WithHiddenRequest("Transfer-Encoding: gzip\r\n"),
                 "400"},
        BadInput{"Unknown",
                 WithHiddenRequest("Transfer-Encoding: xchunked\r\n"), "400"},
        BadInput{"ChunkedNotLast",
                 WithHiddenRequest("Transfer-Encoding: chunked, identity\r\n"),
                 "400"},
        BadInput{"ChunkedAfterAnother",
                 WithHiddenRequest("Transfer-Encoding: identity, chunked\r\n"),
                 "400"},
        BadInput{"Quoted",
                 WithHiddenRequest("Transfer-Encoding: \"chunked\"\r\n"),
                 "400"},
        BadInput{"WithParameter",
                 WithHiddenRequest("Transfer-Encoding: chunked;a=b\r\n"),
                 "400"},
        BadInput{"Empty", WithHiddenRequest("Transfer-Encoding:\r\n"), "400"},
        BadInput{
            "Folded",
            WithHiddenRequest("Transfer-Encoding: identity\r\n chunked\r\n"),
            "400"},
        BadInput{"BlankInName",
                 WithHiddenRequest("Transfer-Encoding : chunked\r\n"), "400"},
        BadInput{"TwoCodings",
                 WithHiddenRequest("Transfer-Encoding: identity\r\n"
                                   "Transfer-Encoding: gzip\r\n"),
                 "400"},
        BadInput{"ChunkedTwice",
                 WithHiddenRequest("Transfer-Encoding: chunked\r\n"
                                   "Transfer-Encoding: chunked\r\n"),
                 "400"},
        BadInput{"CodingAndLength",
                 WithHiddenRequest("Transfer-Encoding: identity\r\n"
                                   "Content-Length: 3\r\n"),
                 "400"},
        BadInput{"LengthAndCoding",
                 WithHiddenRequest("Content-Length: 3\r\n"
                                   "Transfer-Encoding: identity\r\n"),
                 "400"},
        BadInput{"EqualLengths",
                 WithHiddenRequest("Content-Length: 3\r\n"
                                   "Content-Length: 3\r\n"),
                 "400"},
        BadInput{"LengthList", WithHiddenRequest("Content-Length: 3, 3\r\n"),
                 "400"},
        BadInput{"LengthWithSign", WithHiddenRequest("Content-Length: +3\r\n"),
                 "400"},
        BadInput{"LengthInHexadecimal",
                 WithHiddenRequest("Content-Length: 0x3\r\n"), "400"},
        BadInput{"EmptyLength", WithHiddenRequest("Content-Length:\r\n"),
                 "400"},
        BadInput{"ChunksOfAnOldVersion",
                 "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "0\r\n\r\n",
                 "400"}),
    [](const auto& info) { return info.param.name; });

TEST_F(ServerTest, AnswersRequestsThatWereSentAheadInOrder) {
  RawClient client(loop_, address_);
  client.Send(
      "POST /1 HTTP/1.1\r\nContent-Length: 1\r\n\r\na"
      "POST /2 HTTP/1.1\r\nContent-Length: 1\r\n\r\nb");
  Run([&] { return requests_.size() == 2; });
  Run([&] { return client.Received().find("\r\n\r\nb") != std::string::npos; });
  EXPECT_LT(client.Received().find("\r\n\r\na"),
            client.Received().find("\r\n\r\nb"));
}

// Guards against upstream work for a client that has left.
TEST_F(ServerTest, NoticesAClientThatLeaves) {
  answer_ = false;
  auto client = std::make_unique<RawClient>(loop_, address_);
  client->Send("GET / HTTP/1.1\r\n\r\n");
  Run([&] { return !sessions_.empty(); });
  bool gone = false;
  sessions_[0]->OnGone([&] { gone = true; });
  client->Close();
  Run([&] { return gone; });
  EXPECT_TRUE(gone);
}

// Guards against upstream work for a client that left before its request was
// read, for example while the process was paused.
TEST_F(ServerTest, TellsThatAClientLeftBeforeItsRequestWasRead) {
  answer_ = false;
  RawClient patient(loop_, address_);
  patient.Send("GET / HTTP/1.1\r\n\r\n");
  Run([&] { return !sessions_.empty(); });
  EXPECT_FALSE(sessions_[0]->ClientHasLeft());
  auto client = std::make_unique<RawClient>(loop_, address_);
  client->Send("GET / HTTP/1.1\r\n\r\n");
  client->Close();
  bool left = false;
  answer_ = false;
  Run([&] {
    if (sessions_.size() > 1) left = sessions_[1]->ClientHasLeft();
    return sessions_.size() > 1;
  });
  EXPECT_TRUE(left);
}

TEST_F(ServerTest, AnAbortedStreamIsNotComplete) {
  answer_ = false;
  RawClient client(loop_, address_);
  client.Send("GET / HTTP/1.1\r\n\r\n");
  Run([&] { return !sessions_.empty(); });
  sessions_[0]->BeginStream(200, {}, std::nullopt);
  sessions_[0]->SendPiece("abc");
  Run([&] { return client.Received().find("abc") != std::string::npos; });
  sessions_[0]->Abort();
  Run([&] { return client.Ended(); });
  EXPECT_EQ(client.Received().find("0\r\n\r\n"), std::string::npos);
}

// Guards against requests that a planned stop cuts: answers tell the client to
// close, and a stream that began before the stop closes after its end.
TEST_F(ServerTest, DrainTellsClientsToCloseAndEndsStreams) {
  answer_ = false;
  RawClient client(loop_, address_);
  client.Send("GET / HTTP/1.1\r\n\r\n");
  Run([&] { return !sessions_.empty(); });
  sessions_[0]->BeginStream(200, {}, std::nullopt);
  server_.BeginDrain();
  server_.StopAccepting();
  sessions_[0]->SendPiece("abc");
  sessions_[0]->EndStream();
  Run([&] { return client.Ended(); });
  EXPECT_TRUE(client.Ended());
  EXPECT_NE(client.Received().find("0\r\n\r\n"), std::string::npos);
}

// Guards against a planned stop that closes a connection with the last byte of
// its stream, and so under the next request of a client that was never told
// that the connection closes.
TEST_F(ServerTest, DrainAnswersARequestThatFollowsAStream) {
  answer_ = false;
  RawClient client(loop_, address_);
  client.Send("GET /1 HTTP/1.1\r\n\r\n");
  Run([&] { return !sessions_.empty(); });
  sessions_[0]->BeginStream(200, {}, std::nullopt);
  server_.BeginDrain();
  sessions_[0]->EndStream();
  Run([&] { return client.Received().find("0\r\n\r\n") != std::string::npos; });
  server_.StopAccepting();
  EXPECT_EQ(server_.BusySessions(), 1U);
  const auto think = MonotonicNow() + std::chrono::milliseconds(300);
  Run([&] { return MonotonicNow() > think; });
  answer_ = true;
  client.Send("POST /2 HTTP/1.1\r\nContent-Length: 1\r\n\r\nb");
  Run([&] { return client.Ended(); });
  EXPECT_NE(client.Received().find("\r\n\r\nb"), std::string::npos);
  EXPECT_NE(client.Received().find("Connection: close"), std::string::npos);
}

// Guards against a request that was read while a stream was being sent and gets
// no answer: the stream's head did not announce that the connection closes.
TEST_F(ServerTest, DrainAnswersARequestThatWasReadDuringAStream) {
  answer_ = false;
  RawClient client(loop_, address_);
  client.Send("GET /1 HTTP/1.1\r\n\r\n");
  Run([&] { return !sessions_.empty(); });
  sessions_[0]->BeginStream(200, {}, std::nullopt);
  client.Send("POST /2 HTTP/1.1\r\nContent-Length: 1\r\n\r\nb");
  const auto read = MonotonicNow() + std::chrono::milliseconds(50);
  Run([&] { return MonotonicNow() > read; });
  server_.BeginDrain();
  answer_ = true;
  sessions_[0]->EndStream();
  Run([&] { return client.Ended(); });
  EXPECT_NE(client.Received().find("\r\n\r\nb"), std::string::npos);
  EXPECT_NE(client.Received().find("Connection: close"), std::string::npos);
}

// Guards against the loss of a request that has arrived on an idle connection
// but has not been read when the connections of a stopping server are closed.
TEST_F(ServerTest, StopAcceptingKeepsAConnectionWithAnUnreadRequest) {
  RawClient client(loop_, address_);
  client.Send("GET /1 HTTP/1.1\r\n\r\n");
  Run([&] { return client.Received().find("X-Id") != std::string::npos; });
  Run([&] { return server_.BusySessions() == 0; });
  client.Send("POST /2 HTTP/1.1\r\nContent-Length: 1\r\n\r\nb");
  server_.BeginDrain();
  server_.StopAccepting();
  EXPECT_EQ(server_.BusySessions(), 1U);
  Run([&] { return client.Ended(); });
  EXPECT_NE(client.Received().find("\r\n\r\nb"), std::string::npos);
}

// The same for a request on a connection that has not been accepted yet.
TEST_F(ServerTest, StopAcceptingTakesTheConnectionsThatWait) {
  RawClient client(loop_, address_);
  client.Send("POST /1 HTTP/1.1\r\nContent-Length: 1\r\n\r\nb");
  server_.BeginDrain();
  server_.StopAccepting();
  Run([&] { return client.Ended(); });
  EXPECT_NE(client.Received().find("\r\n\r\nb"), std::string::npos);
}

// The same for a request that arrives unread while a stream ends, whose head
// did not announce that the connection closes.
TEST_F(ServerTest, DrainAnswersARequestThatWaitsAtTheEndOfAStream) {
  answer_ = false;
  RawClient client(loop_, address_);
  client.Send("GET /1 HTTP/1.1\r\n\r\n");
  Run([&] { return !sessions_.empty(); });
  sessions_[0]->BeginStream(200, {}, std::nullopt);
  server_.BeginDrain();
  client.Send("POST /2 HTTP/1.1\r\nContent-Length: 1\r\n\r\nb");
  answer_ = true;
  sessions_[0]->EndStream();
  Run([&] { return client.Ended(); });
  EXPECT_NE(client.Received().find("\r\n\r\nb"), std::string::npos);
}

// Guards against requests that were sent ahead and get no answer because the
// one before them is answered during a planned stop.
TEST_F(ServerTest, DrainAnswersRequestsThatWereSentAhead) {
  answer_ = false;
  RawClient client(loop_, address_);
  client.Send(
      "GET /1 HTTP/1.1\r\n\r\n"
      "POST /2 HTTP/1.1\r\nContent-Length: 1\r\n\r\nb"
      "POST /3 HTTP/1.1\r\nContent-Length: 1\r\n\r\n");
  Run([&] { return !sessions_.empty(); });
  server_.BeginDrain();
  answer_ = true;
  client.Send("c");
  sessions_[0]->Respond(200, {}, "a");
  Run([&] { return client.Ended(); });
  ASSERT_EQ(requests_.size(), 3U);
  EXPECT_EQ(requests_[2].body, "c");
  const auto close = client.Received().find("Connection: close");
  const auto second = client.Received().find("\r\n\r\nb");
  ASSERT_NE(second, std::string::npos);
  EXPECT_NE(client.Received().find("\r\n\r\nc"), std::string::npos);
  // Only the last answer may say so.
  EXPECT_GT(close, second);
  EXPECT_NE(close, std::string::npos);
}

// Guards against the loss of a request whose connection has been accepted by
// the event loop, but not passed to the server yet, when the server stops.
TEST_F(ServerTest, StopAcceptingCountsConnectionsThatAreBeingAccepted) {
  RawClient silent(loop_, address_);
  RawClient client(loop_, address_);
  client.Send("POST /1 HTTP/1.1\r\nContent-Length: 1\r\n\r\nb");
  loop_.restart();
  while (server_.OpenSessions() == 0) loop_.run_one();
  server_.BeginDrain();
  server_.StopAccepting();
  EXPECT_EQ(server_.BusySessions(), 1U);
  Run([&] { return client.Ended(); });
  EXPECT_NE(client.Received().find("\r\n\r\nb"), std::string::npos);
}

// Guards against connections that end without an answer in the middle of a
// request when a planned stop ends.
TEST_F(ServerTest, RefusesRequestsThatAreNotReadCompletely) {
  RawClient client(loop_, address_);
  client.Send("POST /1 HTTP/1.1\r\nContent-Length: 5\r\n\r\nab");
  Run([&] { return server_.BusySessions() == 1; });
  server_.BeginDrain();
  Run([&] {
    server_.RefusePartialRequests();
    return client.Ended();
  });
  ASSERT_TRUE(client.Ended());
  EXPECT_EQ(client.Received().substr(9, 3), "503");
  EXPECT_TRUE(requests_.empty());
}

TEST_F(ServerTest, AnswersDuringADrainSayClose) {
  server_.BeginDrain();
  RawClient client(loop_, address_);
  client.Send("GET / HTTP/1.1\r\n\r\n");
  Run([&] { return client.Ended(); });
  EXPECT_NE(client.Received().find("Connection: close"), std::string::npos);
}

TEST_F(ServerTest, ClosesAnIdleConnection) {
  server_.SetLimits(
      {2048, 1000, std::chrono::seconds(5), std::chrono::milliseconds(100)});
  RawClient client(loop_, address_);
  Run([&] { return client.Ended(); });
  EXPECT_TRUE(client.Ended());
}

// A server whose clients may cause 100,000 bytes.
class OverloadTest : public ServerTest {
 protected:
  OverloadTest() {
    OverloadLimits limits;
    limits.stall_time = std::chrono::milliseconds(100);
    limits.connections = 8;
    server_.SetOverloadLimits(memory_, limits);
    server_.OnRefusal([this](ClientRefusal refusal, const std::string&) {
      refusals_.push_back(refusal);
    });
  }
  auto Wait(Duration time) -> void {
    const auto end = MonotonicNow() + time;
    Run([&] { return MonotonicNow() >= end; });
  }
  static auto Post(std::size_t length) -> std::string {
    return "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(length) +
           "\r\n\r\n";
  }

  std::shared_ptr<MemoryAccount> memory_ =
      std::make_shared<MemoryAccount>(MemoryLimits{100'000, 0.85, 1});
  std::vector<ClientRefusal> refusals_;
};

// Guards against a trailer that takes effect as a field of the head, such as
// one that authenticates.
TEST_F(OverloadTest, TrailersAreDropped) {
  RawClient client(loop_, address_);
  client.Send(
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nA: b\r\n\r\n"
      "2;x=y\r\nok\r\n0\r\nAuthorization: Token k\r\n\r\n");
  Run([&] { return !requests_.empty(); });
  ASSERT_EQ(requests_.size(), 1U);
  EXPECT_EQ(requests_[0].body, "ok");
  EXPECT_EQ(FindField(requests_[0].head.fields, "Authorization"), nullptr);
  EXPECT_NE(FindField(requests_[0].head.fields, "A"), nullptr);
}

// Guards against memory for the framing of a body that grows without bound, in
// one piece or in many.
TEST_F(OverloadTest, FramingIsBounded) {
  const std::string head =
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::string trailers;
  while (trailers.size() < 20'000) trailers += "X: some value\r\n";
  for (const auto& framing :
       {"2;a=" + std::string(5000, 'x'),
        "2;a=" + std::string(5000, 'x') + "\r\nok\r\n0\r\n\r\n",
        "0\r\nX: " + std::string(20'000, 'x'),
        "0\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n", "0\r\n" + trailers,
        "0\r\n" + trailers + "\r\n"}) {
    RawClient client(loop_, address_);
    client.Send(head + framing);
    Run([&] { return client.Ended(); });
    EXPECT_EQ(client.Received().substr(9, 3), "400")
        << framing.substr(0, 8) << framing.size();
  }
  EXPECT_TRUE(requests_.empty());
  EXPECT_EQ(refusals_.size(), 6U);
  EXPECT_EQ(memory_->Used(MemoryUse::kFraming), 0U);
}

// Guards against framing within the bounds that is rejected.
TEST_F(OverloadTest, FramingWithinTheBoundsIsAccepted) {
  RawClient client(loop_, address_);
  client.Send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2;a=" +
              std::string(4000, 'x') +
              "\r\nok\r\n0\r\nX: " + std::string(16'000, 'x') + "\r\n\r\n");
  Run([&] { return !requests_.empty(); });
  EXPECT_EQ(requests_.size(), 1U);
}

// Guards against announced bodies that are accepted although they do not fit.
TEST_F(OverloadTest, BodyThatDoesNotFitIsRefusedBeforeItIsRead) {
  RawClient first(loop_, address_);
  first.Send(Post(60'000) + "a");
  Wait(std::chrono::milliseconds(30));
  EXPECT_GE(memory_->Used(MemoryUse::kReceivedBody), 60'000U);
  RawClient second(loop_, address_);
  second.Send(Post(60'000));
  Run([&] { return second.Ended(); });
  EXPECT_EQ(second.Received().substr(9, 3), "503");
  EXPECT_NE(second.Received().find("Retry-After: 1"), std::string::npos);
  EXPECT_NE(second.Received().find("Connection: close"), std::string::npos);
  EXPECT_EQ(refusals_, std::vector{ClientRefusal::kNoMemory});
}

// Guards against bodies that stall and keep all others out.
TEST_F(OverloadTest, StalledBodyIsEvictedForOneThatNeedsTheRoom) {
  RawClient stalled(loop_, address_);
  stalled.Send(Post(60'000) + "a");
  Wait(std::chrono::milliseconds(150));
  answer_ = true;
  RawClient other(loop_, address_);
  other.Send(Post(60'000) + std::string(60'000, 'b'));
  Run([&] { return requests_.size() == 1 && stalled.Ended(); });
  EXPECT_EQ(requests_.size(), 1U);
  EXPECT_EQ(stalled.Received().substr(9, 3), "503");
  EXPECT_EQ(refusals_, std::vector{ClientRefusal::kEvicted});
}

// Guards against a body without a length that grows beyond the bound, and
// against memory that stays charged.
TEST_F(OverloadTest, ChunkedBodiesAreChargedAsTheyGrow) {
  server_.SetLimits(
      {2048, 1'000'000, std::chrono::seconds(5), std::chrono::seconds(5)});
  RawClient client(loop_, address_);
  client.Send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
  const auto chunk = "2710\r\n" + std::string(10'000, 'x') + "\r\n";
  for (int i = 0; i < 12 && !client.Ended(); ++i) {
    client.Send(chunk);
    Wait(std::chrono::milliseconds(5));
    EXPECT_LE(memory_->Used(MemoryUse::kReceivedBody), 85'000U);
  }
  Run([&] { return client.Ended(); });
  EXPECT_EQ(client.Received().substr(9, 3), "503");
  EXPECT_EQ(memory_->Used(MemoryUse::kReceivedBody), 0U);
}

// Guards against connections without requests that use up the descriptors.
TEST_F(OverloadTest, NewConnectionTakesThePlaceOfTheLongestIdleOne) {
  std::vector<std::unique_ptr<RawClient>> idle;
  for (int i = 0; i < 8; ++i) {
    idle.push_back(std::make_unique<RawClient>(loop_, address_));
    Wait(std::chrono::milliseconds(5));
  }
  RawClient client(loop_, address_);
  client.Send("GET / HTTP/1.1\r\n\r\n");
  Run([&] { return !requests_.empty() && idle[0]->Ended(); });
  EXPECT_EQ(requests_.size(), 1U);
  EXPECT_TRUE(idle[0]->Ended());
  EXPECT_FALSE(idle[1]->Ended());
  EXPECT_EQ(server_.OpenSessions(), 8U);
}

}  // namespace
}  // namespace dotterellug::eventhttp
