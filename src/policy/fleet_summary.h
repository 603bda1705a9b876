#pragma once

#include <cstddef>

namespace fireflyrun::policy {

/// Counts of the members that a node knows of, itself included.
struct FleetSummary {
  std::size_t preceding = 0;  ///< Members that precede this node in the common order.
  std::size_t members = 1;    ///< Members that have not left, reachable or not.
  std::size_t reachable = 1;  ///< Reachable ones among `members`.
  /// The node has contacted another member, or is known to be the only one, and it has received the
  /// entry of every member whose name was reported to it.
  bool discovered_all_members = false;
};

}  // namespace fireflyrun::policy
