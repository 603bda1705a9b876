#pragma once

#include <cstdint>
#include <memory>

#include "common/clock.h"

namespace fireflyrun::peer {

class Connection;

/// The called node's state for one incarnation of a calling node.
struct InboundCaller {
  std::uint64_t newest_link = 0;  ///< Highest link number received in a Hello.
  std::weak_ptr<Connection> connection;
  SteadyTime last_hello;
  SteadyTime lost_at;     ///< When the latest connection ended; valid while there is none.
  SteadyTime last_heard;  ///< When the latest frame arrived that a caller sends on an open link.
};

}  // namespace fireflyrun::peer
