#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "common/clock.h"
#include "common/id128.h"
#include "peer/call.h"
#include "peer/link_counters.h"
#include "peer/link_error.h"
#include "peer/link_options.h"
#include "peer/peer_address.h"

namespace fireflyrun {
class TimerService;
}

namespace fireflyrun::peer {

/// The calling side: one link per node in use, multiplexed by call id. A link that misses its
/// heartbeats is replaced by a fresh connection, over which the state of every pending call is
/// asked for under its id; no call is sent twice. A node has at most one LinkPool: the called node
/// closes the older of two connections from one node and incarnation.
class LinkPool {
 public:
  using AnswerHandler = std::function<void(tl::expected<Answer, LinkError>)>;

  LinkPool(TimerService& timers, LinkOptions options);
  ~LinkPool();
  LinkPool(const LinkPool&) = delete;
  LinkPool& operator=(const LinkPool&) = delete;

  /// Sends a call, whose head holds a fresh call_id; body length and checksum are filled in. The
  /// head's deadline_us is lowered by the time spent waiting here, or set to the time until
  /// `deadline` if it is 0. `handler` runs exactly once, at `deadline` at the latest (then with
  /// kUnknown, or kNotSent when the call has not left), never inside Send(). A bad or pending
  /// call_id or a body over the limit gives kNotSent.
  void Send(const PeerAddress& peer, Call call, SteadyTime deadline, AnswerHandler handler);

  /// The caller no longer wants the answer: tells the far node, drops the handler without calling.
  void Cancel(const Id128& call_id);

  /// Half of the link's smoothed round trip, zero before the first measure.
  Duration OneWayDelay(const std::string& node) const;

  std::size_t OpenLinks() const;
  std::size_t PendingCalls() const;
  const LinkCounters& Counters() const;
  /// Closes every link; handlers of pending calls run later on the loop. Destruction without
  /// Close() drops them.
  void Close();

 private:
  class Implementation;
  std::shared_ptr<Implementation> implementation;
};

}  // namespace fireflyrun::peer
