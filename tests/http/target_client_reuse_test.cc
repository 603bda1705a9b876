#include <gtest/gtest.h>

#include <asio/read.hpp>

#include "tests/http/target_test_support.h"

namespace fireflyrun::http {
namespace {

constexpr const char* kHead = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n";

/// Answers the first request, and resets the connection in place of every later answer.
void ResetLaterAnswers(RawConnection& connection, int number) {
  if (number == 1) {
    connection.Write(kWholeResponse);
  } else {
    connection.Reset();
  }
}

// Why TargetClient stands beside Client: what may run once arrives twice by way of libcurl.
TEST(TargetClientReuseTest, LibcurlSendsADeleteTwiceWhenItsReusedConnectionIsReset) {
  asio::io_context loop;
  Client client(loop, 4);
  RawServer server(loop, ResetLaterAnswers);
  ClientRequest request;
  request.url = Url(server.Port());
  request.method = "DELETE";
  ASSERT_TRUE(Fetch(loop, client, request)->has_value());
  EXPECT_EQ(Fetch(loop, client, request)->error().kind, ClientErrorKind::kConnectionLost);
  EXPECT_EQ(server.requests, 1 + 2);
}

TEST(TargetClientReuseTest, RequestWhoseReusedConnectionIsResetArrivesOnce) {
  for (const bool repeatable : {false, true}) {
    TargetFixture fixture(ResetLaterAnswers);
    TargetRequest request = fixture.Request("DELETE");
    request.repeatable = repeatable;
    ASSERT_TRUE(fixture.Fetch(request));
    EXPECT_EQ(fixture.FetchError(request), ClientErrorKind::kConnectionLost);
    EXPECT_EQ(fixture.server.requests, 2);
    EXPECT_EQ(fixture.server.connections, 1);
    EXPECT_EQ(fixture.client->Counters().connections_reused, 1U);
  }
}

TEST(TargetClientReuseTest, ConnectionsThatStayAreReused) {
  TargetFixture fixture(Always(kWholeResponse));
  for (const char* method : {"GET", "POST", "DELETE"}) EXPECT_TRUE(fixture.Fetch(method));
  EXPECT_EQ(fixture.server.connections, 1);
  EXPECT_EQ(fixture.client->Counters().connections_opened, 1U);
  EXPECT_EQ(fixture.client->Counters().connections_reused, 2U);
}

TEST(TargetClientReuseTest, KeptConnectionDoesNotWakeTheLoop) {
  TargetFixture fixture(Always(kWholeResponse));
  ASSERT_TRUE(fixture.Fetch());
  fixture.loop.restart();
  fixture.loop.poll();
  ASSERT_TRUE(fixture.Fetch());
  EXPECT_EQ(fixture.loop.poll(), 0U);
}

TEST(TargetClientReuseTest, ConnectionsThatMayNotStayAreClosed) {
  const std::string head = kHead;
  for (const std::string& answer : {
           head + "Connection: close\r\n\r\nok",
           head + "Keep-Alive: timeout=0\r\n\r\nok",
           std::string("HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nok"),
           head + "\r\nok and more",
       }) {
    TargetFixture fixture(Always(answer));
    EXPECT_EQ(fixture.Fetch()->body, "ok");
    EXPECT_EQ(fixture.Fetch()->body, "ok");
    EXPECT_EQ(fixture.server.connections, 2) << answer;
    EXPECT_TRUE(fixture.RunUntilClosed(0));
  }
}

TEST(TargetClientReuseTest, ConnectionClosedOrWrittenToWhileIdleIsDropped) {
  for (const bool closes : {false, true}) {
    TargetFixture fixture(Always(kWholeResponse));
    ASSERT_TRUE(fixture.Fetch());
    // The loop doesn't run in between: the check at the time of reuse must see it.
    if (closes) {
      fixture.accepted[0]->Close();
    } else {
      asio::write(fixture.accepted[0]->socket, asio::buffer(std::string(kWholeResponse)));
    }
    EXPECT_TRUE(fixture.Fetch("DELETE"));
    EXPECT_EQ(fixture.server.connections, 2);
    EXPECT_EQ(fixture.client->Counters().connections_found_dead, 1U);
  }
}

/// Without an echo nothing else tells it from the answer to the request.
TEST(TargetClientReuseTest, FurtherAnswerThatBeginsBeforeTheNextRequestIsSentIsNotItsAnswer) {
  constexpr std::size_t kLargeBody = std::size_t{32} << 20;
  TargetFixture fixture([](RawConnection& connection, int number) {
    if (number > 1) connection.paused = true;
    connection.Write(kWholeResponse);
  });
  ASSERT_TRUE(fixture.Fetch());
  TargetRequest request = fixture.Request("POST");
  request.body.assign(kLargeBody, 'x');
  EXPECT_EQ(fixture.FetchError(request), ClientErrorKind::kBadAnswer);
  EXPECT_EQ(fixture.server.connections, 1);
  EXPECT_TRUE(fixture.Fetch());
  EXPECT_EQ(fixture.server.connections, 2);
}

TEST(TargetClientReuseTest, TargetThatSpeaksFirstOnANewConnectionGetsNoRequest) {
  TargetFixture fixture(Always(kWholeResponse));
  asio::ip::tcp::acceptor acceptor(fixture.loop, {asio::ip::make_address("127.0.0.1"), 0});
  TargetRequest request = fixture.Request("DELETE");
  request.address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  std::optional<Result> result;
  fixture.client->Send(request, [&](Result ended) { result = std::move(ended); });
  // The kernel has connected; the client sees it only when the loop runs.
  asio::ip::tcp::socket far_end = acceptor.accept();
  asio::write(far_end, asio::buffer(std::string(kWholeResponse)));
  ASSERT_TRUE(RunUntil(fixture.loop, [&] { return result.has_value(); }));
  ASSERT_FALSE(result->has_value());
  EXPECT_EQ(result->error().kind, ClientErrorKind::kNotSent);
  asio::error_code error;
  std::string received;
  asio::read(far_end, asio::dynamic_buffer(received), error);
  EXPECT_EQ(received, "");
}

TEST(TargetClientReuseTest, IdleConnectionIsWatched) {
  TargetFixture fixture(Always(kWholeResponse));
  ASSERT_TRUE(fixture.Fetch());
  fixture.accepted[0]->Write("unasked");
  EXPECT_TRUE(fixture.RunUntilClosed(0));
  EXPECT_EQ(fixture.client->Counters().connections_found_dead, 1U);
}

TEST(TargetClientReuseTest, IdleConnectionIsClosedBeforeTheTargetsTimeout) {
  TargetClientOptions options;
  options.idle_limit = std::chrono::milliseconds(1);
  TargetFixture fixture(Always(kWholeResponse), options);
  ASSERT_TRUE(fixture.Fetch());
  EXPECT_TRUE(fixture.RunUntilClosed(0));
  options.idle_limit = std::chrono::seconds(60);
  TargetFixture stated(Always(std::string(kHead) + "Keep-Alive: timeout=1\r\n\r\nok"), options);
  const SteadyTime begun = SteadyClock::now();
  ASSERT_TRUE(stated.Fetch());
  EXPECT_TRUE(stated.RunUntilClosed(0));
  EXPECT_LT(SteadyClock::now() - begun, std::chrono::seconds(1));
}

TEST(TargetClientReuseTest, OnlyRepeatableRequestsUseAnOlderConnection) {
  TargetClientOptions options;
  options.unrepeatable_idle_limit = Duration::zero();
  TargetFixture fixture(Always(kWholeResponse), options);
  TargetRequest repeatable = fixture.Request();
  repeatable.repeatable = true;
  ASSERT_TRUE(fixture.Fetch());
  ASSERT_TRUE(fixture.Fetch(repeatable));
  EXPECT_EQ(fixture.server.connections, 1);
  EXPECT_TRUE(fixture.Fetch("DELETE"));
  EXPECT_EQ(fixture.server.connections, 2);
  // An idle connection makes room for a new one.
  fixture.client->SetMaxConnections(2);
  EXPECT_TRUE(fixture.Fetch("DELETE"));
  EXPECT_EQ(fixture.server.connections, 3);
  EXPECT_TRUE(fixture.RunUntilClosed(0));
}

TEST(TargetClientReuseTest, StrayAnswerIsSkippedOnTheSameConnection) {
  const std::string other = std::string(kHead) + "Request-Tag: a\r\n\r\nno";
  const std::string own = std::string(kHead) + "Request-Tag: b\r\n\r\nok";
  TargetFixture fixture(Always(other + own));
  TargetRequest request = fixture.Request();
  request.echo_header = {"Request-Tag", "b"};
  EXPECT_EQ(fixture.Fetch(request)->body, "ok");
  EXPECT_EQ(fixture.Fetch(request)->body, "ok");
  EXPECT_EQ(fixture.server.connections, 1);
  EXPECT_EQ(fixture.client->Counters().stray_answers_skipped, 2U);
}

}  // namespace
}  // namespace fireflyrun::http
