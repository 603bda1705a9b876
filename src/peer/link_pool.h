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

/// The calling side: one link per node in use, multiplexed by call id. A connection that misses its
/// heartbeats is replaced by a new one, on which the state of every pending call is queried by its
/// id; no call is sent twice. A node must have at most one LinkPool, because the called node closes
/// the older of two connections from the same node and incarnation.
class LinkPool {
 public:
  using AnswerHandler = std::function<void(tl::expected<Answer, LinkError>)>;

  LinkPool(TimerService& timers, LinkOptions options);
  ~LinkPool();
  LinkPool(const LinkPool&) = delete;
  LinkPool& operator=(const LinkPool&) = delete;

  /// Sends a call whose head has a unique call_id; sets the head's body length and checksum. The
  /// head's deadline_us is reduced by the time spent in the queue; if 0, it is first set to the
  /// time until `deadline`, and so is the call's deadline if it isn't set. `handler` runs exactly
  /// once, never from within Send(), at the latest at `deadline` (then with kUnknown, or kNotSent
  /// if the call was not sent). An invalid or pending call_id, or a head or body over its limit,
  /// results in kNotSent.
  void Send(const PeerAddress& peer, Call call, SteadyTime deadline, AnswerHandler handler);

  /// Cancels a call: drops the handler without running it, and notifies the remote node, if need be
  /// on the next connection.
  void Cancel(const Id128& call_id);

  /// Half of the link's smoothed round-trip time; zero before the first measurement.
  Duration OneWayDelay(const std::string& node) const;

  std::size_t OpenLinks() const;
  std::size_t PendingCalls() const;
  /// Cancels that the remote nodes haven't confirmed yet.
  std::size_t PendingCancels() const;
  const LinkCounters& Counters() const;
  /// Cancels all pending calls and closes all links; the handlers run later on the event loop. The
  /// destructor drops handlers that are left without running them.
  void Close();

 private:
  class Implementation;
  std::shared_ptr<Implementation> implementation;
};

}  // namespace fireflyrun::peer
