#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "membership/membership_options.h"
#include "membership/view.h"

namespace fireflyrun::membership {

/// Chooses whom to speak to. News goes to members of a small set of neighbours that changes slowly,
/// so that connections last; anti-entropy and pings go to the whole zone.
class PeerPicker {
 public:
  PeerPicker(const View& known, const MembershipOptions& bounds) : view(known), options(bounds) {}

  /// Control addresses of up to `count` different neighbours, drawn at random.
  std::vector<std::string> PickNeighbours(std::size_t count);
  /// Exchanges one neighbour.
  void Rotate();
  /// Up to `count` different reachable members of the own zone, drawn from all of it.
  View::StatePointers PickInZone(std::size_t count, std::string_view except = {}) const;

  bool SelfIsDelegate() const;
  /// Control addresses of the own zone's other delegates.
  std::vector<std::string> OwnDelegates() const;
  /// One delegate of each other zone that is not cut off. Delegates of one zone choose different
  /// ones where they can.
  View::StatePointers RemoteDelegates() const;
  /// That delegate of one zone; null when there is none.
  const MemberState* RemoteDelegate(const std::string& zone, std::size_t offset = 0) const;

 private:
  std::size_t OwnRank() const;

  const View& view;
  const MembershipOptions& options;
  std::vector<std::string> neighbours;
};

}  // namespace fireflyrun::membership
