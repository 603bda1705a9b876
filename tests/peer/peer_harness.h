#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/timer_service.h"
#include "peer/link_pool.h"
#include "peer/link_server.h"
#include "tests/standins/fault_proxy.h"

namespace fireflyrun::peer {

/// A call sent by a PeerHarness and its result.
struct SentCall {
  Id128 id;
  int results = 0;
  std::optional<tl::expected<Answer, LinkError>> result;

  bool Answered(const std::string& body) const {
    return this->result && *this->result && (*this->result)->body == body;
  }
  std::optional<LinkErrorKind> Error() const {
    if (!this->result || *this->result) return std::nullopt;
    return this->result->error().kind;
  }
};

/// A caller "a" and a called node "b" on one event loop with a FaultProxy between them and short
/// timeouts. By default calls are echoed at once.
class PeerHarness {
 public:
  static constexpr std::uint64_t kIncarnation = 7;

  explicit PeerHarness(LinkOptions base = ShortLimits());

  static LinkOptions ShortLimits();
  /// Runs the event loop until `condition` holds or `limit` has passed; returns whether it held.
  bool RunUntil(const std::function<bool()>& condition, Duration limit = std::chrono::seconds(10));
  std::shared_ptr<SentCall> Send(std::string body, Duration limit = std::chrono::seconds(20),
                                 bool at_most_once = false);
  bool RunUntilDone(const std::shared_ptr<SentCall>& call) {
    return this->RunUntil([&] { return call->results > 0; });
  }
  /// Sends a call and waits for its echo, so that the link is open afterwards.
  bool WarmUp();
  /// Starts the called node; after StopServer() it can be started with another incarnation.
  void StartServer(std::uint64_t incarnation);
  void StopServer() { this->server.reset(); }
  LinkOptions ServerOptions(std::uint64_t incarnation) const;

  asio::io_context loop;
  TimerService timers{loop};
  LinkOptions options;
  /// Replaces the echo if set.
  LinkServer::CallHook on_call;
  std::vector<Id128> ran;
  std::vector<Id128> cancelled;
  /// What the called node does when a call is cancelled, beside noting it.
  std::function<void()> on_cancel;
  std::unique_ptr<LinkServer> server;
  std::unique_ptr<standins::FaultProxy> proxy;
  std::unique_ptr<LinkPool> pool;
  PeerAddress address;
};

}  // namespace fireflyrun::peer
