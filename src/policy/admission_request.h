#pragma once

#include "common/clock.h"
#include "common/id128.h"
#include "policy/priority_key.h"

namespace fireflyrun::policy {

/// A call offered to admission at the target's node.
struct AdmissionRequest {
  Id128 id;  ///< Unique among the calls queued and in flight.
  PriorityKey key;
  SteadyTime deadline;
};

}  // namespace fireflyrun::policy
