#pragma once

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "http/exchange.h"
#include "http/request.h"
#include "tests/http/test_support.h"

namespace fireflyrun::http {

inline constexpr const char* kGet = "GET /a?b=c HTTP/1.1\r\nHost: x\r\nX-Tag: t\r\n\r\n";

/// A server of either kind whose exchanges wait in a list until the test answers them.
template <typename ServerType, typename OptionsType>
class ServerFixture : public testing::Test {
 protected:
  void Restart() {
    this->server = std::make_unique<ServerType>(
        this->loop, this->options, [this](Request request, std::shared_ptr<Exchange> exchange) {
          this->requests.push_back(std::move(request));
          this->exchanges.push_back(std::move(exchange));
          if (this->on_request) this->on_request();
          if (this->answers_at_once) this->exchanges.back()->Respond({200, {}, "whole"});
        });
    ASSERT_TRUE(this->server->Start());
  }

  bool WaitForRequests(std::size_t count) {
    return RunUntil(this->loop, [&] { return this->requests.size() == count; });
  }

  std::shared_ptr<RawConnection> ConnectAndSend(const std::string& text) {
    auto caller = RawConnection::Connect(this->loop, this->server->Port());
    caller->Write(text);
    return caller;
  }

  bool WaitFor(const std::shared_ptr<RawConnection>& caller, const std::string& text) {
    return RunUntil(this->loop, [&] { return caller->received.find(text) != std::string::npos; });
  }

  bool WaitUntilClosed(const std::shared_ptr<RawConnection>& caller) {
    return RunUntil(this->loop, [&] { return caller->closed; });
  }

  /// Sends a body of `size` to the server and answers with one of the same size.
  void ExpectWholeBodiesBothWays(std::size_t size) {
    Client client(this->loop, 4);
    ClientRequest request;
    request.method = "POST";
    request.url = Url(this->server->Port(), "/photos");
    request.body = std::string(size, 'p');
    std::optional<Result> result;
    client.Send(request, [&](Result ended) { result = std::move(ended); });
    ASSERT_TRUE(this->WaitForRequests(1));
    EXPECT_EQ(this->requests[0].body, request.body);
    EXPECT_EQ(this->requests[0].remote_address, "127.0.0.1");
    this->exchanges[0]->Respond({201, {{"X-Answer", "1"}}, std::string(size, 'r')});
    ASSERT_TRUE(RunUntil(this->loop, [&] { return result.has_value(); }));
    EXPECT_EQ(result->value().status, 201);
    EXPECT_EQ(FindHeader(result->value().headers, "x-answer"), "1");
    EXPECT_EQ(result->value().body, std::string(size, 'r'));
  }

  asio::io_context loop;
  OptionsType options;
  bool answers_at_once = false;
  std::function<void()> on_request;
  std::unique_ptr<ServerType> server;
  std::vector<Request> requests;
  std::vector<std::shared_ptr<Exchange>> exchanges;
};

}  // namespace fireflyrun::http
