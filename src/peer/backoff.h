#pragma once

#include "common/clock.h"

namespace fireflyrun::peer {

/// Delays between connection attempts: doubled each time up to a limit, each drawn at random from
/// the upper half of its range so that callers of one node do not act in step.
class Backoff {
 public:
  Duration Next();
  void Reset();

 private:
  Duration range{};
};

}  // namespace fireflyrun::peer
