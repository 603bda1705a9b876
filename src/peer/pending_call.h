#pragma once

#include <memory>

#include "common/clock.h"
#include "common/timer_subscription.h"
#include "peer/body_assembly.h"
#include "peer/call.h"
#include "peer/link_pool.h"

namespace fireflyrun::peer {

/// A call whose handler has not run yet.
struct PendingCall {
  enum class Phase {
    kWaiting,     ///< For a connection; holds `call`.
    kQueued,      ///< At the connection, not wholly in the write buffer or not wholly written.
    kHandedOver,  ///< The kernel took its last byte: it may run.
  };

  Phase phase = Phase::kWaiting;
  std::unique_ptr<Call> call;
  SteadyTime sent_at;
  LinkPool::AnswerHandler handler;
  TimerSubscription deadline_timer;
  std::unique_ptr<Answer> answer;  ///< Set once the answer's head has arrived.
  BodyAssembly assembly;
};

}  // namespace fireflyrun::peer
