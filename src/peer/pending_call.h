#pragma once

#include <memory>

#include "common/clock.h"
#include "common/timer_subscription.h"
#include "peer/body_assembly.h"
#include "peer/call.h"
#include "peer/link_pool.h"
#include "policy/held_bytes.h"

namespace fireflyrun::peer {

/// A call on the calling side whose handler has not run yet.
struct PendingCall {
  enum class Phase {
    kWaiting,     ///< No connection yet; `call` is set.
    kQueued,      ///< Queued at the connection or partially written.
    kHandedOver,  ///< The kernel accepted the last byte: the remote node may run the call.
  };

  Phase phase = Phase::kWaiting;
  std::unique_ptr<Call> call;
  bool at_most_once = false;
  SteadyTime sent_at;
  SteadyTime deadline;
  LinkPool::AnswerHandler handler;
  TimerSubscription deadline_timer;
  std::unique_ptr<Answer> answer;  ///< Set once the answer's head is received.
  BodyAssembly assembly;
  policy::HeldBytesShare held;  ///< The answer, from its head on.
};

}  // namespace fireflyrun::peer
