#pragma once

#include <memory>

#include "bench/bench_fleet.h"

namespace fireflyrun::bench {

/// The two fleets compared in one run; they are loaded in turn.
struct Variants {
  std::unique_ptr<ChainFleet> on;        ///< With fireflyrun's overload decisions.
  std::unique_ptr<ChainFleet> baseline;  ///< With the overload decisions switched off.
};

}  // namespace fireflyrun::bench
