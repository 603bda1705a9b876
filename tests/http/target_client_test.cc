#include "http/target_client.h"

#include <gtest/gtest.h>

#include <asio/steady_timer.hpp>

#include "tests/http/target_test_support.h"

namespace fireflyrun::http {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kLargeBody = std::size_t{32} << 20;

/// Reads the request's head and no more; answers with `text`.
RawServer::Script WithoutReadingTheBody(std::string text) {
  return [text = std::move(text)](RawConnection& connection, int) {
    connection.paused = true;
    connection.Write(text);
  };
}

TEST(TargetClientTest, SendsTheRequestByteForByte) {
  TargetFixture fixture(nullptr);
  TargetRequest request = fixture.Request("PUT");
  request.target = "/a/../b%2f?x=1&y=%20";
  request.headers = {{"X-Empty", ""}, {"Content-Length", "99"}, {"Transfer-Encoding", "chunked"}};
  request.body = "body";
  asio::ip::tcp::acceptor acceptor(fixture.loop, {asio::ip::make_address("127.0.0.1"), 0});
  request.address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  std::shared_ptr<RawConnection> far_end;
  acceptor.async_accept([&](auto, asio::ip::tcp::socket socket) {
    far_end = std::make_shared<RawConnection>(std::move(socket));
    far_end->on_data = [&] { far_end->Write(kWholeResponse); };
    far_end->Read();
  });
  ASSERT_TRUE(fixture.Fetch(request));
  EXPECT_EQ(far_end->received, "PUT /a/../b%2f?x=1&y=%20 HTTP/1.1\r\nHost: " + request.address +
                                   "\r\nX-Empty: \r\nContent-Length: 4\r\n\r\nbody");
}

TEST(TargetClientTest, ReadsEveryFraming) {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  EXPECT_EQ(TargetFixture(Always(kWholeResponse)).Fetch()->body, "ok");
  EXPECT_EQ(TargetFixture(Always(head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
                .Fetch()
                ->body,
            "ok");
  EXPECT_EQ(TargetFixture(OnceThenClose(head + "\r\nok")).Fetch()->body, "ok");
  EXPECT_EQ(TargetFixture(Always("HTTP/1.1 100 Continue\r\n\r\n" + std::string(kWholeResponse)))
                .Fetch()
                ->status,
            200);
}

TEST(TargetClientTest, AnswersWithoutABodyLeaveTheConnectionUsable) {
  TargetFixture fixture([](RawConnection& connection, int number) {
    const std::string status = number == 1 ? "200 OK" : number == 2 ? "204 None" : "304 Same";
    connection.Write("HTTP/1.1 " + status + "\r\nContent-Length: 9\r\n\r\n");
  });
  EXPECT_EQ(fixture.Fetch("HEAD")->status, 200);
  EXPECT_EQ(fixture.Fetch()->status, 204);
  EXPECT_EQ(fixture.Fetch()->status, 304);
  EXPECT_EQ(fixture.server.connections, 1);
}

TEST(TargetClientTest, AnswerBeforeTheWholeBodyEndsTheConnection) {
  TargetClientOptions options;
  options.idle_limit = std::chrono::hours(1);
  TargetFixture fixture(WithoutReadingTheBody("HTTP/1.1 413 Large\r\nContent-Length: 2\r\n\r\nno"),
                        options);
  TargetRequest request = fixture.Request("POST");
  request.body.assign(kLargeBody, 'x');
  EXPECT_EQ(fixture.Fetch(request)->status, 413);
  RawConnection& connection = *fixture.accepted[0];
  connection.on_data = nullptr;
  connection.paused = false;
  connection.Read();
  ASSERT_TRUE(fixture.RunUntilClosed(0));
  EXPECT_LT(connection.received.size(), kLargeBody);
  EXPECT_EQ(connection.received.find_first_not_of('x'), std::string::npos);
  EXPECT_TRUE(fixture.Fetch());
  EXPECT_EQ(fixture.server.connections, 2);
}

TEST(TargetClientTest, BodyStopsWhenAnAnswerBegins) {
  TargetFixture fixture(WithoutReadingTheBody("HTTP/1.1 413 Large\r\nContent-Length: 2\r\n\r\n"));
  TargetRequest request = fixture.Request("POST");
  request.body.assign(kLargeBody, 'x');
  std::optional<Result> result;
  fixture.client->Send(request, [&](Result ended) { result = std::move(ended); });
  ASSERT_TRUE(RunUntil(fixture.loop, [&] { return fixture.server.requests == 1; }));
  while (fixture.loop.poll() > 0) {
  }
  // The answer has begun at the client. Now the target reads on.
  RawConnection& connection = *fixture.accepted[0];
  connection.on_data = nullptr;
  connection.paused = false;
  connection.Read();
  while (fixture.loop.poll() > 0) {
  }
  EXPECT_LT(connection.received.size(), kLargeBody);
  connection.Write("no");
  ASSERT_TRUE(RunUntil(fixture.loop, [&] { return result.has_value(); }));
  EXPECT_EQ(result->value().body, "no");
  EXPECT_TRUE(fixture.RunUntilClosed(0));
}

TEST(TargetClientTest, BodyGoesOnAfterAnInterimAnswer) {
  std::size_t received = 0;
  TargetFixture fixture([&](RawConnection& connection, int) {
    connection.Write("HTTP/1.1 100 Continue\r\n\r\n");
    // Posted, as the present hook is running.
    asio::post(connection.socket.get_executor(), [&] {
      connection.on_data = [&] {
        received += std::exchange(connection.received, std::string()).size();
        if (received == kLargeBody) connection.Write(kWholeResponse);
      };
    });
  });
  TargetRequest request = fixture.Request("POST");
  request.body.assign(kLargeBody, 'x');
  EXPECT_TRUE(fixture.Fetch(request));
}

TEST(TargetClientTest, TargetThatDoesNotReadHoldsUpNothingElse) {
  TargetFixture slow([](RawConnection& connection, int) { connection.paused = true; });
  RawServer quick(slow.loop, Always(kWholeResponse));
  TargetRequest large = slow.Request("POST");
  large.body.assign(kLargeBody, 'x');
  slow.client->Send(large, [](const Result&) { ADD_FAILURE(); });
  ASSERT_TRUE(RunUntil(slow.loop, [&] { return slow.server.requests == 1; }));
  TargetRequest other = slow.Request();
  other.address = "127.0.0.1:" + std::to_string(quick.Port());
  EXPECT_TRUE(slow.Fetch(other));
}

TEST(TargetClientTest, RequestsBeyondTheLimitWaitInOrder) {
  TargetFixture fixture(Always(kWholeResponse));
  fixture.client->SetMaxConnections(1);
  std::string order;
  for (const char name : {'a', 'b', 'c'}) {
    fixture.client->Send(fixture.Request("DELETE"), [&, name](const Result& result) {
      if (result) order += name;
    });
  }
  EXPECT_TRUE(RunUntil(fixture.loop, [&] { return order == "abc"; }));
  EXPECT_EQ(fixture.server.connections, 1);
}

TEST(TargetClientTest, CancelClosesTheConnectionAndLetsTheNextRequestGo) {
  TargetFixture fixture([](RawConnection& connection, int number) {
    if (number > 1) connection.Write(kWholeResponse);
  });
  fixture.client->SetMaxConnections(1);
  const auto fail = [](const Result&) { ADD_FAILURE() << "a cancelled request's handler ran"; };
  const auto running = fixture.client->Send(fixture.Request(), fail);
  const auto waiting = fixture.client->Send(fixture.Request(), fail);
  ASSERT_TRUE(RunUntil(fixture.loop, [&] { return fixture.server.requests == 1; }));
  fixture.client->Cancel(waiting);
  fixture.client->Cancel(running);
  EXPECT_TRUE(fixture.RunUntilClosed(0));
  EXPECT_TRUE(fixture.Fetch());
  EXPECT_EQ(fixture.server.requests, 2);
}

TEST(TargetClientTest, CancelledRequestSendsNothingMore) {
  TargetFixture fixture(WithoutReadingTheBody(""));
  TargetRequest request = fixture.Request("POST");
  request.body.assign(kLargeBody, 'x');
  const auto id = fixture.client->Send(request, [](const Result&) { ADD_FAILURE(); });
  ASSERT_TRUE(RunUntil(fixture.loop, [&] { return fixture.server.requests == 1; }));
  while (fixture.loop.poll() > 0) {
  }
  RawConnection& connection = *fixture.accepted[0];
  const std::size_t delivered = connection.received.size() + connection.socket.available();
  fixture.client->Cancel(id);
  connection.on_data = nullptr;
  connection.paused = false;
  connection.Read();
  ASSERT_TRUE(fixture.RunUntilClosed(0));
  EXPECT_LE(connection.received.size(), delivered);
}

/// Passes the time until `deadline` without running the loop.
void StallUntil(asio::io_context& loop, SteadyTime deadline) {
  asio::steady_timer(loop, deadline + milliseconds(1)).wait();
}

TEST(TargetClientTest, RequestThatExpiresWhileItsConnectionIsMadeIsNotSent) {
  TargetFixture fixture(Always(kWholeResponse));
  TargetRequest request = fixture.Request();
  request.deadline = SteadyClock::now() + milliseconds(20);
  std::optional<Result> result;
  fixture.client->Send(request, [&](Result ended) { result = std::move(ended); });
  StallUntil(fixture.loop, request.deadline);
  ASSERT_TRUE(RunUntil(fixture.loop, [&] { return result.has_value(); }));
  EXPECT_EQ(result->error().kind, ClientErrorKind::kNotSent);
  EXPECT_TRUE(fixture.Fetch());
  EXPECT_EQ(fixture.server.requests, 1);
}

TEST(TargetClientTest, RequestThatExpiresWhileItWaitsForAConnectionIsNotSent) {
  TargetFixture fixture([](RawConnection&, int) {});
  fixture.client->SetMaxConnections(1);
  TargetRequest waiting = fixture.Request();
  waiting.deadline = SteadyClock::now() + milliseconds(50);
  std::optional<Result> first;
  std::optional<Result> second;
  fixture.client->Send(fixture.Request(), [&](Result ended) { first = std::move(ended); });
  fixture.client->Send(waiting, [&](Result ended) { second = std::move(ended); });
  ASSERT_TRUE(RunUntil(fixture.loop, [&] { return fixture.server.requests == 1; }));
  asio::write(fixture.accepted[0]->socket, asio::buffer(std::string_view(kWholeResponse)));
  StallUntil(fixture.loop, waiting.deadline);
  ASSERT_TRUE(RunUntil(fixture.loop, [&] { return first && second; }));
  EXPECT_TRUE(first->has_value());
  EXPECT_EQ(second->error().kind, ClientErrorKind::kNotSent);
  EXPECT_EQ(fixture.server.requests, 1);
}

TEST(TargetClientTest, DeadlineHeaderTellsWhatIsLeftWhenTheRequestIsWritten) {
  constexpr milliseconds kWait(100);
  TargetFixture fixture([](RawConnection& connection, int number) {
    if (number == 2) connection.Write(kWholeResponse);
  });
  fixture.client->SetMaxConnections(1);
  fixture.client->Send(fixture.Request(), [](const Result&) {});
  ASSERT_TRUE(RunUntil(fixture.loop, [&] { return fixture.server.requests == 1; }));
  TargetRequest waiting = fixture.Request();
  waiting.deadline = SteadyClock::now() + seconds(5);
  waiting.deadline_header = "X-Left-Ms";
  const auto answer =
      fixture.timers.After(kWait, [&] { fixture.accepted[0]->Write(kWholeResponse); });
  ASSERT_TRUE(fixture.Fetch(waiting));
  const std::string& head = fixture.server.last_head;
  const auto header = head.find("X-Left-Ms: ");
  ASSERT_NE(header, std::string::npos) << head;
  const int left = std::stoi(head.substr(header + std::string("X-Left-Ms: ").size()));
  EXPECT_LE(left, ToMilliseconds(seconds(5) - kWait).count());
  EXPECT_GT(left, 0);
}

TEST(TargetClientTest, HandlerMayDestroyTheClientWhileOthersWait) {
  TargetFixture fixture(Always(kWholeResponse));
  int ended = 0;
  for (int i = 0; i < 3; ++i) {
    fixture.client->Send(fixture.Request(), [&](const Result&) {
      ++ended;
      fixture.client.reset();
    });
  }
  EXPECT_TRUE(RunUntil(fixture.loop, [&] { return fixture.client == nullptr; }));
  fixture.loop.poll();
  EXPECT_EQ(ended, 1);
}

}  // namespace
}  // namespace fireflyrun::http
