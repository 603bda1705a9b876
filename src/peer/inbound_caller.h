#pragma once

#include <cstdint>
#include <memory>

#include "common/clock.h"

namespace fireflyrun::peer {

class Connection;

/// One incarnation of a calling node, as the called node sees it.
struct InboundCaller {
  std::uint64_t newest_link = 0;  ///< Highest link number that said Hello.
  std::weak_ptr<Connection> connection;
  SteadyTime last_hello;
};

}  // namespace fireflyrun::peer
