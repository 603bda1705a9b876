#pragma once

#include <optional>

#include "common/boot_clock.h"
#include "common/clock.h"

namespace fireflyrun::peer {

/// What a remote node's boot clock shows, learned from round trips: the remote node's reading in a
/// reply is at most as old as the reply's way back. The reading is therefore a lower bound, and the
/// quickest reply gives the best one.
class RemoteClock {
 public:
  /// Adds a round trip: sent and received by this node's clock, and the remote clock's reading that
  /// the reply carried.
  void Add(BootTime sent, BootTime remote, BootTime received);

  /// A time that the remote clock has certainly reached at `local`; nothing before the first round
  /// trip.
  std::optional<BootTime> At(BootTime local) const;

 private:
  /// The remote clock's lead at `local`, less what the clocks may have drifted apart since.
  Duration LeadAt(BootTime local) const;

  bool known = false;
  Duration lead{};      ///< Remote time less local time.
  BootTime learned_at;  ///< Local time of `lead`.
};

}  // namespace fireflyrun::peer
