#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "membership/membership_options.h"
#include "membership/view.h"

namespace fireflyrun::membership {

/// Selects the peers to contact. Updates go to a small set of neighbors that changes slowly, so
/// that connections are reused; anti-entropy and pings go to members of the whole zone.
class PeerPicker {
 public:
  PeerPicker(const View& current_view, const MembershipOptions& membership_options)
      : view(current_view), options(membership_options) {}

  /// Returns the control addresses of up to `count` distinct random neighbors.
  std::vector<std::string> PickNeighbors(std::size_t count);
  /// Removes one random neighbor; the next PickNeighbors() replaces it.
  void Rotate();
  /// Returns up to `count` distinct random reachable members of this node's zone.
  View::StatePointers PickInZone(std::size_t count, std::string_view except = {}) const;

  bool SelfIsDelegate() const;
  /// Returns the control addresses of the other delegates of this node's zone.
  std::vector<std::string> OwnZoneDelegates() const;
  /// Returns one delegate of each other zone that is not cut off. The delegates of one zone choose
  /// different ones where possible.
  View::StatePointers RemoteDelegates() const;
  /// Returns the delegate that RemoteDelegates() chooses for `zone`, or the one `offset` ranks
  /// later; null if the zone has none.
  const MemberState* RemoteDelegate(const std::string& zone, std::size_t offset = 0) const;

 private:
  std::size_t OwnRank() const;

  const View& view;
  const MembershipOptions& options;
  std::vector<std::string> neighbors;
};

}  // namespace fireflyrun::membership
