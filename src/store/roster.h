#pragma once

#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "store/roster_entry.h"
#include "store/store_error.h"

namespace fireflyrun {
class TimerService;
}

namespace fireflyrun::store {

class Store;

inline constexpr int kRosterSlotsPerZone = 4;

/// Reads the roster of every zone.
void ReadRoster(Store& store, const std::string& cluster,
                std::function<void(tl::expected<std::vector<RosterEntry>, StoreError>)> handler);

/// Tries to hold one of the leased roster slots of a zone for this node, so that others can contact
/// it first. If all slots are taken or the store is unreachable, it waits until the next attempt;
/// nothing depends on holding a slot.
class Roster {
 public:
  Roster(Store& store, TimerService& timers, std::string cluster, RosterEntry self);
  ~Roster();
  Roster(const Roster&) = delete;
  Roster& operator=(const Roster&) = delete;

  /// Tries immediately, and then periodically while it holds no slot.
  void Start();

  /// Releases the slot; `done` runs once the revocation of its lease succeeded or failed.
  void Leave(std::function<void()> done);

  bool HoldsSlot() const;

 private:
  class Implementation;
  std::shared_ptr<Implementation> implementation;
};

}  // namespace fireflyrun::store
