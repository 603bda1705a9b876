#pragma once

#include <asio/steady_timer.hpp>

#include "http/call_server.h"
#include "tests/http/server_fixture.h"

namespace fireflyrun::http {

/// A CallServer whose exchanges wait in a list until the test answers them.
class CallServerTest : public ServerFixture<CallServer, CallServerOptions> {
 protected:
  CallServerTest() {
    this->options.limits.max_body_bytes = std::size_t{16} << 20;
    this->options.limits.max_header_bytes = 2000;
    this->Restart();
  }

  /// Runs the loop for a time in which nothing is to happen.
  void RunFor(Duration time) {
    this->loop.restart();
    this->loop.run_for(time);
  }

  /// Lets time pass in which the server does not run.
  void Stall(Duration time) { asio::steady_timer(this->loop, time).wait(); }
};

}  // namespace fireflyrun::http
