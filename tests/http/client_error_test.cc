#include <gtest/gtest.h>

#include "tests/http/test_support.h"

namespace fireflyrun::http {
namespace {

ClientRequest Get(std::uint16_t port) {
  ClientRequest request;
  request.url = Url(port);
  return request;
}

ClientErrorKind KindOf(const std::optional<Result>& result) { return result.value().error().kind; }

/// Answers the first request and closes the kept connection as the second one arrives on it.
void CloseOnSecondRequest(RawConnection& connection, int number) {
  if (number == 2) {
    connection.Close();
  } else {
    connection.Write(kWholeResponse);
  }
}

/// Fetches from a far end that answers with `text` and closes.
std::optional<Result> FetchText(const std::string& text, ClientRequest request = {}) {
  asio::io_context loop;
  Client client(loop, 4);
  RawServer server(loop, [&](RawConnection& connection, int) {
    asio::write(connection.socket, asio::buffer(text));
    connection.Close();
  });
  request.url = Url(server.Port());
  return Fetch(loop, client, request);
}

TEST(ClientErrorTest, RepeatableRequestIsSilentlyRepeatedWhenItsKeptConnectionCloses) {
  asio::io_context loop;
  Client client(loop, 4);
  RawServer server(loop, CloseOnSecondRequest);
  ASSERT_TRUE(Fetch(loop, client, Get(server.Port()))->has_value());
  EXPECT_TRUE(Fetch(loop, client, Get(server.Port()))->has_value());
  EXPECT_EQ(server.requests, 3);
}

TEST(ClientErrorTest, RequestOnAFreshConnectionIsNeverRepeated) {
  asio::io_context loop;
  Client client(loop, 4);
  RawServer server(loop, CloseOnSecondRequest);
  ASSERT_TRUE(Fetch(loop, client, Get(server.Port()))->has_value());
  ClientRequest fresh = Get(server.Port());
  fresh.fresh_connection = true;
  EXPECT_EQ(KindOf(Fetch(loop, client, fresh)), ClientErrorKind::kConnectionLost);
  EXPECT_EQ(server.requests, 2);
  EXPECT_EQ(server.connections, 2);
}

TEST(ClientErrorTest, FailedRepeatIsNotCalledNotSent) {
  asio::io_context loop;
  Client client(loop, 4);
  RawServer* far_end = nullptr;
  RawServer server(loop, [&](RawConnection& connection, int number) {
    if (number == 2) far_end->acceptor.close();
    CloseOnSecondRequest(connection, number);
  });
  far_end = &server;
  ASSERT_TRUE(Fetch(loop, client, Get(server.Port()))->has_value());
  EXPECT_EQ(KindOf(Fetch(loop, client, Get(server.Port()))), ClientErrorKind::kConnectionLost);
  EXPECT_EQ(server.requests, 2);
}

TEST(ClientErrorTest, RefusedConnectionIsNotSent) {
  asio::io_context loop;
  Client client(loop, 4);
  RawServer server(loop, nullptr);
  server.acceptor.close();
  EXPECT_EQ(KindOf(Fetch(loop, client, Get(server.Port()))), ClientErrorKind::kNotSent);
}

TEST(ClientErrorTest, ConnectionClosedBeforeAResponseIsLost) {
  EXPECT_EQ(KindOf(FetchText("")), ClientErrorKind::kConnectionLost);
}

TEST(ClientErrorTest, NoResponseInTimeIsTimedOut) {
  asio::io_context loop;
  Client client(loop, 4);
  RawServer server(loop, [](RawConnection&, int) {});
  ClientRequest request = Get(server.Port());
  request.timeout = std::chrono::milliseconds(20);
  EXPECT_EQ(KindOf(Fetch(loop, client, request)), ClientErrorKind::kTimedOut);
  EXPECT_EQ(server.requests, 1);
}

TEST(ClientErrorTest, TruncatedBodyIsNeverAShortBody) {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  for (const std::string& text : {
           head + "Content-Length: 10\r\n\r\nshort",
           head + "Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
           head + "\r\nends with its connection",
       }) {
    EXPECT_EQ(KindOf(FetchText(text)), ClientErrorKind::kConnectionLost) << text;
  }
}

TEST(ClientErrorTest, ResponseWhoseHeadIsCutOffIsNoResponse) {
  for (const std::string begin : {"200 OK\r\nContent-Length: 2", "200 OK\r\nContent-Length: 0",
                                  "200 OK\r\nTransfer-Encoding: chunked", "204 No Content"}) {
    const std::string head = "HTTP/1.1 " + begin + "\r\nX-Last: 1\r\n\r\n";
    for (std::size_t size = 0; size < head.size(); ++size) {
      EXPECT_FALSE(FetchText(head.substr(0, size))->has_value()) << head.substr(0, size);
    }
  }
}

TEST(ClientErrorTest, BodyOverTheLimitIsTooLarge) {
  ClientRequest request;
  request.max_response_bytes = 4;
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string sized = head + "Content-Length: 5\r\n\r\n12345";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\n\r\n";
  EXPECT_EQ(KindOf(FetchText(sized, request)), ClientErrorKind::kTooLarge);
  EXPECT_EQ(KindOf(FetchText(chunked, request)), ClientErrorKind::kTooLarge);
  request.max_response_bytes = 5;
  EXPECT_EQ(FetchText(sized, request)->value().body, "12345");
}

/// Guards against a status that isn't three digits, in an answer of the store.
TEST(ClientErrorTest, StatusLinesThatAreNotProperAreNoAnswers) {
  for (const std::string status : {"0200", "000", "20", "2", "2000", "600", "099", "-01"}) {
    const auto result = FetchText("HTTP/1.1 " + status + " OK\r\nContent-Length: 2\r\n\r\nok");
    EXPECT_FALSE(result->has_value()) << status;
  }
  EXPECT_TRUE(FetchText("HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok")->has_value());
}

/// Guards against heads without end from the store, whose answers this client reads.
TEST(ClientErrorTest, HeadOverTheLimitIsTooLarge) {
  const std::string filler = "X-Filler: " + std::string(1000, 'x') + "\r\n";
  std::string headers;
  while (headers.size() < std::size_t{100} << 10) headers += filler;
  const std::string head = "HTTP/1.1 200 OK\r\n" + headers;
  EXPECT_EQ(KindOf(FetchText(head + "Content-Length: 2\r\n\r\nok")), ClientErrorKind::kTooLarge);
  std::string interim;
  for (int i = 0; i < 100; ++i) interim += "HTTP/1.1 103 Early\r\n" + filler + "\r\n";
  EXPECT_EQ(KindOf(FetchText(interim + kWholeResponse)), ClientErrorKind::kTooLarge);
  EXPECT_TRUE(
      FetchText("HTTP/1.1 200 OK\r\n" + filler + "Content-Length: 2\r\n\r\nok")->has_value());
}

TEST(ClientErrorTest, LineBreaksInHeadersAreNotSent) {
  ClientRequest request;
  request.headers = {{"X-Tag", "a\r\nInjected: 1"}};
  EXPECT_EQ(KindOf(FetchText(kWholeResponse, request)), ClientErrorKind::kNotSent);
}

TEST(ClientErrorTest, CancelledRequestGetsItsResultFromTheLoop) {
  asio::io_context loop;
  Client client(loop, 4);
  RawServer server(loop, [](RawConnection&, int) {});
  std::optional<Result> result;
  const auto id = client.Send(Get(server.Port()), [&](Result ended) { result = ended; });
  ASSERT_TRUE(RunUntil(loop, [&] { return server.requests == 1; }));
  client.Cancel(id);
  EXPECT_FALSE(result);
  ASSERT_TRUE(RunUntil(loop, [&] { return result.has_value(); }));
  EXPECT_EQ(KindOf(result), ClientErrorKind::kCancelled);
}

TEST(ClientErrorTest, DestroyedClientCallsNoHandler) {
  asio::io_context loop;
  bool called = false;
  RawServer server(loop, [](RawConnection&, int) {});
  auto client = std::make_unique<Client>(loop, 4);
  client->Send(Get(server.Port()), [&](const Result&) { called = true; });
  const auto cancelled = client->Send(Get(server.Port()), [&](const Result&) { called = true; });
  ASSERT_TRUE(RunUntil(loop, [&] { return server.requests == 2; }));
  client->Cancel(cancelled);
  client.reset();
  loop.poll();
  EXPECT_FALSE(called);
}

}  // namespace
}  // namespace fireflyrun::http
