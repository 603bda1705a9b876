#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>

#include "common/clock.h"
#include "common/id128.h"
#include "common/timer_subscription.h"
#include "peer/body_assembly.h"
#include "peer/call.h"
#include "peer/inbound_caller.h"
#include "policy/held_bytes.h"

namespace fireflyrun::peer {

class Connection;

/// An accepted connection and the calls partially received on it.
struct InboundLink {
  struct PartialCall {
    Call call;
    BodyAssembly assembly;
    std::size_t body_length = 0;
    policy::HeldBytesShare held;
  };

  std::shared_ptr<Connection> connection;
  std::shared_ptr<InboundCaller> caller;  ///< Null until the Hello is received.
  std::uint64_t number = 0;
  std::unordered_map<Id128, PartialCall> partial_calls;
  std::size_t partial_bytes = 0;
  TimerSubscription hello_timer;
};

}  // namespace fireflyrun::peer
