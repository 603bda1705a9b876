#pragma once

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "common/clock.h"
#include "common/id128.h"

namespace fireflyrun::peer {

/// Cancels that the remote node may not have received. A connection keeps the order of its frames,
/// so the reply to a heartbeat confirms every cancel that was sent before the heartbeat. A cancel
/// is needed until its call's deadline, at which the remote node ends the call anyway.
class UnconfirmedCancels {
 public:
  /// Adds a cancel that is sent now, or that waits for the next connection.
  void Add(const Id128& call_id, SteadyTime deadline, SteadyTime now);
  /// The remote node has received what was sent before `heartbeat_sent_at`.
  void Confirm(SteadyTime heartbeat_sent_at);
  /// The cancels to send on a new connection, which counts as done at `now`.
  std::vector<Id128> SendAgain(SteadyTime now);
  void DropExpired(SteadyTime now);
  void Clear() { this->cancels.clear(); }

  bool Empty() const { return this->cancels.empty(); }
  std::size_t Size() const { return this->cancels.size(); }

 private:
  struct Cancel {
    SteadyTime deadline;
    SteadyTime sent_at;
  };

  std::unordered_map<Id128, Cancel> cancels;
};

}  // namespace fireflyrun::peer
