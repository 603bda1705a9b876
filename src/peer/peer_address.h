#pragma once

#include <cstdint>
#include <string>

namespace fireflyrun::peer {

/// One incarnation of a node and the address at which it accepts calls. A link to another
/// incarnation at the same address is refused.
struct PeerAddress {
  std::string node;
  std::uint64_t incarnation = 0;
  std::string ip;
  std::uint16_t port = 0;
};

}  // namespace fireflyrun::peer
