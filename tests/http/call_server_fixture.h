#pragma once

#include <gtest/gtest.h>

#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "http/call_server.h"
#include "tests/http/test_support.h"

namespace fireflyrun::http {

inline constexpr const char* kGet = "GET /a?b=c HTTP/1.1\r\nHost: x\r\nX-Tag: t\r\n\r\n";

/// A CallServer whose exchanges wait in a list until the test answers them.
class CallServerTest : public testing::Test {
 protected:
  CallServerTest() {
    this->options.limits.max_body_bytes = std::size_t{16} << 20;
    this->options.limits.max_header_bytes = 2000;
    this->Restart();
  }

  void Restart() {
    this->server = std::make_unique<CallServer>(
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

  /// Runs the loop for a time in which nothing is to happen.
  void RunFor(Duration time) {
    this->loop.restart();
    this->loop.run_for(time);
  }

  /// Lets time pass in which the server does not run.
  void Stall(Duration time) { asio::steady_timer(this->loop, time).wait(); }

  asio::io_context loop;
  CallServerOptions options;
  bool answers_at_once = false;
  std::function<void()> on_request;
  std::unique_ptr<CallServer> server;
  std::vector<Request> requests;
  std::vector<std::shared_ptr<Exchange>> exchanges;
};

}  // namespace fireflyrun::http
