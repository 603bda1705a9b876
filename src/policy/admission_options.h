#pragma once

#include <chrono>
#include <cstddef>

#include "common/clock.h"

namespace fireflyrun::policy {

struct AdmissionOptions {
  std::size_t queue_capacity = 256;
  /// A queue that persists for a whole interval and takes longer than this to drain tightens the
  /// admission level.
  Duration queue_target = std::chrono::milliseconds(20);
};

}  // namespace fireflyrun::policy
