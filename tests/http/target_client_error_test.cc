#include <gtest/gtest.h>

#include "tests/http/target_test_support.h"

namespace fireflyrun::http {
namespace {

void Ignore(RawConnection&, int) {}

TEST(TargetClientErrorTest, NothingIsSentWithoutAConnection) {
  TargetFixture fixture(Ignore);
  fixture.server.acceptor.close();
  EXPECT_EQ(fixture.FetchError(fixture.Request("DELETE")), ClientErrorKind::kNotSent);
}

TEST(TargetClientErrorTest, UnansweredConnectIsNotSent) {
  TargetClientOptions options;
  options.connect_timeout = std::chrono::milliseconds(20);
  TargetFixture fixture(Ignore, options);
  // A listener whose queue is full leaves further connects without an answer.
  asio::ip::tcp::acceptor full(fixture.loop, asio::ip::tcp::v4());
  full.bind({asio::ip::make_address("127.0.0.1"), 0});
  full.listen(0);
  asio::ip::tcp::socket queued(fixture.loop);
  queued.connect(full.local_endpoint());
  TargetRequest request = fixture.Request();
  request.address = "127.0.0.1:" + std::to_string(full.local_endpoint().port());
  EXPECT_EQ(fixture.FetchError(request), ClientErrorKind::kNotSent);
  EXPECT_LT(SteadyClock::now(), request.deadline - std::chrono::seconds(5));
}

TEST(TargetClientErrorTest, RequestWithoutTimeOrTurnIsNotSent) {
  TargetFixture fixture(Ignore);
  TargetRequest late = fixture.Request();
  late.deadline = SteadyClock::now();
  EXPECT_EQ(fixture.FetchError(late), ClientErrorKind::kNotSent);
  fixture.client->SetMaxConnections(1);
  fixture.client->Send(fixture.Request(), [](const Result&) {});
  TargetRequest waiting = fixture.Request();
  waiting.deadline = SteadyClock::now() + std::chrono::milliseconds(20);
  EXPECT_EQ(fixture.FetchError(waiting), ClientErrorKind::kNotSent);
  EXPECT_EQ(fixture.server.requests, 1);
}

TEST(TargetClientErrorTest, UnansweredRequestTimesOutAndItsConnectionCloses) {
  TargetFixture fixture(Ignore);
  TargetRequest request = fixture.Request();
  request.deadline = SteadyClock::now() + std::chrono::milliseconds(20);
  EXPECT_EQ(fixture.FetchError(request), ClientErrorKind::kTimedOut);
  EXPECT_GE(SteadyClock::now(), request.deadline);
  EXPECT_TRUE(fixture.RunUntilClosed(0));
}

TEST(TargetClientErrorTest, MalformedRequestsAreNotSent) {
  TargetFixture fixture(Always(kWholeResponse));
  std::vector<TargetRequest> requests(5, fixture.Request());
  requests[0].headers = {{"X-Tag", "a\r\nInjected: 1"}};
  requests[1].target = "/a HTTP/1.1\r\nInjected: 1\r\n\r\n";
  requests[2].method = "GE T";
  requests[3].address = "localhost:1";
  requests[4].target = "";
  for (const TargetRequest& request : requests) {
    EXPECT_EQ(fixture.FetchError(request), ClientErrorKind::kNotSent);
  }
  EXPECT_EQ(fixture.server.connections, 0);
}

TEST(TargetClientErrorTest, BrokenAnswersAreToldApart) {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const auto kind = [](RawServer::Script script) {
    TargetFixture fixture(std::move(script));
    return fixture.FetchError(fixture.Request());
  };
  EXPECT_EQ(kind(OnceThenClose("")), ClientErrorKind::kConnectionLost);
  EXPECT_EQ(kind(OnceThenClose(head + "Content-Length: 9\r\n\r\nshort")),
            ClientErrorKind::kConnectionLost);
  EXPECT_EQ(kind(OnceThenClose(head + "Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n")),
            ClientErrorKind::kConnectionLost);
  EXPECT_EQ(kind(Always("no answer\r\n")), ClientErrorKind::kBadAnswer);
}

TEST(TargetClientErrorTest, AnswerWithoutALengthThatIsResetIsLost) {
  TargetFixture fixture([](RawConnection& connection, int) {
    connection.Write("HTTP/1.1 200 OK\r\n\r\npart");
    asio::post(connection.socket.get_executor(),
               [kept = connection.shared_from_this()] { kept->Reset(); });
  });
  EXPECT_EQ(fixture.FetchError(fixture.Request()), ClientErrorKind::kConnectionLost);
}

TEST(TargetClientErrorTest, AnswerWithoutALengthThatIsResetWhileTheBodyIsWrittenIsLost) {
  TargetFixture fixture([](RawConnection& connection, int) {
    asio::write(connection.socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\npart")));
    connection.Reset();
  });
  TargetRequest request = fixture.Request("POST");
  request.body.assign(std::size_t{32} << 20, 'x');
  EXPECT_EQ(fixture.FetchError(request), ClientErrorKind::kConnectionLost);
}

/// Guards against a part of an answer that passes for the whole, as its end came while the target
/// was still to take most of the request.
TEST(TargetClientErrorTest, AnswerWithoutALengthThatEndsWhileTheBodyIsWrittenIsLost) {
  for (const bool in_chunks : {false, true}) {
    for (const std::string part : {"", "part"}) {
      TargetFixture fixture([&](RawConnection& connection, int) {
        const std::string framing = in_chunks ? "Transfer-Encoding: chunked\r\n\r\n4\r\n" : "\r\n";
        std::string text = "HTTP/1.1 200 OK\r\n";
        text += framing;
        text += part;
        asio::write(connection.socket, asio::buffer(text));
        connection.socket.shutdown(asio::ip::tcp::socket::shutdown_send);
        connection.paused = true;
      });
      TargetRequest request = fixture.Request("POST");
      request.body.assign(std::size_t{32} << 20, 'x');
      EXPECT_EQ(fixture.FetchError(request), ClientErrorKind::kConnectionLost);
    }
  }
}

TEST(TargetClientErrorTest, DestroyedClientCallsNoHandler) {
  TargetFixture fixture(Ignore);
  const auto fail = [](const Result&) { ADD_FAILURE() << "a handler ran after its client"; };
  fixture.client->Send(fixture.Request(), fail);
  ASSERT_TRUE(RunUntil(fixture.loop, [&] { return fixture.server.requests == 1; }));
  fixture.client->Send(fixture.Request(), fail);
  TargetRequest late = fixture.Request();
  late.deadline = SteadyClock::now();
  fixture.client->Send(late, fail);
  fixture.client.reset();
  fixture.loop.poll();
  EXPECT_TRUE(fixture.RunUntilClosed(0));
}

}  // namespace
}  // namespace fireflyrun::http
