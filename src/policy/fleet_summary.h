#pragma once

#include <cstddef>

namespace fireflyrun::policy {

/// What a node sees of its fleet, itself included.
struct FleetSummary {
  std::size_t preceding = 0;  ///< Members present that precede this node in the order of all.
  std::size_t members = 1;    ///< Members that have not left, reachable or not.
  std::size_t reachable = 1;  ///< Of these.
  /// The node met somebody, or is known to be alone, and no member is named to it that it has not
  /// heard of.
  bool knows_all_members = false;
};

}  // namespace fireflyrun::policy
