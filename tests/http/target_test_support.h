#pragma once

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "common/timer_service.h"
#include "http/target_client.h"
#include "tests/http/test_support.h"

namespace fireflyrun::http {

/// A TargetClient and a target that answers by a script, on one loop.
struct TargetFixture {
  explicit TargetFixture(RawServer::Script script, TargetClientOptions options = {})
      : server(loop,
               [this, script = std::move(script)](RawConnection& connection, int number) {
                 if (this->accepted.empty() || this->accepted.back().get() != &connection) {
                   this->accepted.push_back(connection.shared_from_this());
                 }
                 script(connection, number);
               }),
        client(std::make_unique<TargetClient>(timers, options)) {}

  TargetRequest Request(const std::string& method = "GET") const {
    TargetRequest request;
    request.address = "127.0.0.1:" + std::to_string(this->server.Port());
    request.method = method;
    request.deadline = SteadyClock::now() + std::chrono::seconds(10);
    return request;
  }

  Result Fetch(TargetRequest request) {
    std::optional<Result> result;
    this->client->Send(std::move(request), [&](Result ended) { result = std::move(ended); });
    EXPECT_FALSE(result) << "a handler ran inside Send()";
    EXPECT_TRUE(RunUntil(this->loop, [&] { return result.has_value(); }));
    return result.value();
  }

  Result Fetch(const std::string& method = "GET") { return this->Fetch(this->Request(method)); }

  ClientErrorKind FetchError(TargetRequest request) {
    return this->Fetch(std::move(request)).error().kind;
  }

  bool RunUntilClosed(std::size_t connection) {
    return RunUntil(this->loop, [&] { return this->accepted.at(connection)->closed; });
  }

  asio::io_context loop;
  TimerService timers{loop};
  std::vector<std::shared_ptr<RawConnection>> accepted;  ///< Those that sent a request.
  RawServer server;
  std::unique_ptr<TargetClient> client;
};

/// A script that writes the same bytes after each request.
inline RawServer::Script Always(std::string text) {
  return [text = std::move(text)](RawConnection& connection, int) { connection.Write(text); };
}

/// A script that writes the bytes and closes.
inline RawServer::Script OnceThenClose(std::string text) {
  return [text = std::move(text)](RawConnection& connection, int) {
    asio::write(connection.socket, asio::buffer(text));
    connection.Close();
  };
}

}  // namespace fireflyrun::http
