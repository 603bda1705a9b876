#pragma once

namespace fireflyrun::integration {

/// How a Fleet is built.
struct FleetOptions {
  bool network = false;        ///< Hosts reach each other and the store through a FaultNetwork.
  bool unread_output = false;  ///< Nodes write their logs to pipes that nobody reads.
};

}  // namespace fireflyrun::integration
