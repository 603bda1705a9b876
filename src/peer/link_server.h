#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "common/id128.h"
#include "peer/call.h"
#include "peer/link_counters.h"
#include "peer/link_options.h"

namespace fireflyrun {
class TimerService;
}

namespace fireflyrun::peer {

/// The called side: receives calls from other nodes, retains each answer until it is acknowledged,
/// and replies to queries of call states. Duplicate and voided calls are never passed to the hook.
/// A call is also cancelled when its caller's node has restarted, or has been silent for so long
/// that its own side of the link has given the call up.
class LinkServer {
 public:
  /// Sends the answer to one call; further invocations have no effect.
  using Reply = std::function<void(Answer)>;
  using CallHook = std::function<void(Call, Reply)>;
  /// The caller no longer needs the answer to a call that was passed to the CallHook. Its Reply is
  /// still to be used once.
  using CancelHook = std::function<void(const Id128& call_id)>;

  LinkServer(TimerService& timers, LinkOptions options, CallHook on_call, CancelHook on_cancel);
  ~LinkServer();
  LinkServer(const LinkServer&) = delete;
  LinkServer& operator=(const LinkServer&) = delete;

  tl::expected<void, std::string> Start();
  std::uint16_t Port() const;

  /// Answers not yet acknowledged by their callers.
  std::size_t RetainedAnswers() const;
  /// Calls passed to the hook and not yet answered.
  std::size_t OpenCalls() const;
  std::size_t OpenLinks() const;
  const LinkCounters& Counters() const;
  void Close();

 private:
  class Implementation;
  std::shared_ptr<Implementation> implementation;
};

}  // namespace fireflyrun::peer
