#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "common/clock.h"
#include "store/roster_entry.h"
#include "store/store_error.h"

namespace fireflyrun {
class TimerService;
}

namespace fireflyrun::store {

class Store;

inline constexpr int kRosterSlotsPerZone = 4;

/// When a node renews what it holds. A renewal that fails is repeated after half of the period.
struct RosterTimes {
  std::chrono::seconds lease_time_to_live{30};
  Duration renewal_period = std::chrono::seconds(10);
};

/// Reads the roster of every zone.
void ReadRoster(Store& store, const std::string& cluster,
                std::function<void(tl::expected<std::vector<RosterEntry>, StoreError>)> handler);

/// Tries to hold one of the leased roster slots of a zone for this node, so that others can contact
/// it first. While the store can't be reached, it tries again and again, so that the nodes of a
/// fleet that starts without the store meet soon after the store's return. Only while all slots are
/// taken it waits for minutes: then others can be contacted. When the store comes back from an
/// older copy, a slot that was held counts as lost, and is taken again at once.
class Roster {
 public:
  Roster(Store& store, TimerService& timers, std::string cluster, RosterEntry self,
         RosterTimes times = {});
  ~Roster();
  Roster(const Roster&) = delete;
  Roster& operator=(const Roster&) = delete;

  /// Tries immediately, and then again while it holds no slot.
  void Start();

  /// Releases the slot; `done` runs once the revocation of its lease succeeded or failed, or was
  /// left out, as the store may not know the lease any more or have given its id to another node.
  void Leave(std::function<void()> done);

  bool HoldsSlot() const;

 private:
  class Implementation;
  std::shared_ptr<Implementation> implementation;
};

}  // namespace fireflyrun::store
