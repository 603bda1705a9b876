#include "http/client.h"

#include <gtest/gtest.h>

#include "tests/http/test_support.h"

namespace fireflyrun::http {
namespace {

constexpr const char* kChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

ClientRequest Get(std::uint16_t port) {
  ClientRequest request;
  request.url = Url(port);
  return request;
}

TEST(ClientTest, ReusesAKeptConnectionAndOnlyThen) {
  asio::io_context loop;
  Client client(loop, 4);
  RawServer server(loop, [](RawConnection& connection, int) { connection.Write(kWholeResponse); });
  ClientRequest fresh = Get(server.Port());
  fresh.fresh_connection = true;
  for (int i = 0; i < 3; ++i)
    EXPECT_EQ(Fetch(loop, client, Get(server.Port()))->value().body, "ok");
  EXPECT_EQ(server.connections, 1);
  EXPECT_TRUE(Fetch(loop, client, fresh)->has_value());
  EXPECT_EQ(server.connections, 2);
}

/// A server sends its answer once more on a connection that is kept.
TEST(ClientTest, FurtherCopyOfAnAnswerIsNotTheNextRequests) {
  for (const bool loop_runs_between : {false, true}) {
    asio::io_context loop;
    Client client(loop, 4);
    std::shared_ptr<RawConnection> first;
    RawServer server(loop, [&](RawConnection& connection, int number) {
      if (number == 1) first = connection.shared_from_this();
      connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + std::to_string(number));
    });
    ASSERT_EQ(Fetch(loop, client, Get(server.Port()))->value().body, "1");
    asio::write(first->socket,
                asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1")));
    if (loop_runs_between) loop.poll();
    EXPECT_EQ(Fetch(loop, client, Get(server.Port()))->value().body, "2");
    EXPECT_EQ(server.connections, 2);
  }
}

TEST(ClientTest, SendsTheTargetAndHeadersAsGivenAndAddsNone) {
  asio::io_context loop;
  Client client(loop, 4);
  ClientRequest request;
  request.method = "PUT";
  request.headers = {{"X-Empty", ""}, {"Content-Length", "99"}, {"X-Tag", "t"}};
  asio::ip::tcp::acceptor acceptor(loop, {asio::ip::make_address("127.0.0.1"), 0});
  request.url = Url(acceptor.local_endpoint().port(), "/a/../b?x=1");
  std::shared_ptr<RawConnection> far_end;
  acceptor.async_accept([&](auto, asio::ip::tcp::socket socket) {
    far_end = std::make_shared<RawConnection>(std::move(socket));
    far_end->on_data = [&] { far_end->Write(kWholeResponse); };
    far_end->Read();
  });
  ASSERT_TRUE(Fetch(loop, client, request)->has_value());
  const std::string host = "Host: 127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  EXPECT_EQ(far_end->received, "PUT /a/../b?x=1 HTTP/1.1\r\n" + host +
                                   "\r\nX-Empty:\r\nX-Tag: t\r\nContent-Length: 0\r\n\r\n");
}

TEST(ClientTest, StreamHandsOverChunksAsTheyArrive) {
  asio::io_context loop;
  Client client(loop, 4);
  std::shared_ptr<RawConnection> far_end;
  RawServer server(loop, [&](RawConnection& connection, int) {
    far_end = connection.shared_from_this();
    connection.Write(std::string(kChunkedHead) + "3\r\none\r\n");
  });
  std::string body;
  std::optional<Result> result;
  ClientRequest request = Get(server.Port());
  request.timeout = Duration::zero();
  client.Stream(
      request, [&](std::string_view chunk) { body += chunk; },
      [&](Result ended) { result = std::move(ended); });
  ASSERT_TRUE(RunUntil(loop, [&] { return body == "one"; }));
  EXPECT_FALSE(result);
  far_end->Write("3\r\ntwo\r\n0\r\n\r\n");
  ASSERT_TRUE(RunUntil(loop, [&] { return result.has_value(); }));
  EXPECT_EQ(body, "onetwo");
  EXPECT_EQ(result->value().status, 200);
  EXPECT_EQ(result->value().body, "");
}

TEST(ClientTest, ChunkHandlerMayCancelSendAndDestroy) {
  asio::io_context loop;
  auto client = std::make_unique<Client>(loop, 4);
  RawServer server(loop, [&](RawConnection& connection, int) {
    connection.Write(std::string(kChunkedHead) + "3\r\none\r\n");
  });
  Client::RequestId id = 0;
  bool ended = false;
  id = client->Stream(
      Get(server.Port()), [&](std::string_view) { client->Cancel(id); },
      [&](const Result& result) {
        ended = result.error().kind == ClientErrorKind::kCancelled;
        client->Stream(
            Get(server.Port()), [&](std::string_view) { client.reset(); }, [](const Result&) {});
      });
  EXPECT_TRUE(RunUntil(loop, [&] { return client == nullptr; }));
  EXPECT_TRUE(ended);
}

TEST(ClientTest, HandlerMayDestroyTheClientWhileOthersWait) {
  asio::io_context loop;
  auto client = std::make_unique<Client>(loop, 4);
  RawServer server(loop, [](RawConnection& connection, int) { connection.Write(kWholeResponse); });
  int ended = 0;
  for (int i = 0; i < 3; ++i) {
    client->Send(Get(server.Port()), [&](const Result&) {
      ++ended;
      client.reset();
    });
  }
  EXPECT_TRUE(RunUntil(loop, [&] { return client == nullptr; }));
  loop.poll();
  EXPECT_EQ(ended, 1);
}

}  // namespace
}  // namespace fireflyrun::http
