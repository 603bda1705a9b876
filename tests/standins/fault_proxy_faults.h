#pragma once

#include <cstddef>

#include "common/clock.h"

namespace fireflyrun::standins {

/// What a FaultProxy does to the bytes of one direction.
struct FaultProxyFaults {
  Duration delay{};                  ///< Added to each byte; order is kept.
  std::size_t bytes_per_second = 0;  ///< 0 is no cap.
  bool drop = false;                 ///< Bytes are swallowed; the connection stays open.
  bool hold = false;                 ///< Bytes wait in the proxy until this is lifted.
};

}  // namespace fireflyrun::standins
