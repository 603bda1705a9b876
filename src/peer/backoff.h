#pragma once

#include "common/clock.h"

namespace fireflyrun::peer {

/// Delays between connection attempts: the bound doubles each time up to a limit, and each delay is
/// drawn at random between half the bound and the bound, so that the callers of one node do not
/// reconnect in step.
class Backoff {
 public:
  Duration Next();
  void Reset();

 private:
  Duration bound{};
};

}  // namespace fireflyrun::peer
