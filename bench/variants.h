#pragma once

#include <memory>

#include "bench/bench_fleet.h"

namespace fireflyrun::bench {

/// The two fleets that are loaded by turns in one run.
struct Variants {
  std::unique_ptr<ChainFleet> on;        ///< With fireflyrun's decisions.
  std::unique_ptr<ChainFleet> baseline;  ///< With the decisions switched off.
};

}  // namespace fireflyrun::bench
