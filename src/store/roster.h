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

/// Tries to hold one of a zone's few leased roster slots for this node, for first contact. Gives up
/// until the next attempt when all are taken or the store is not reached; nothing depends on it.
class Roster {
 public:
  Roster(Store& store, TimerService& timers, std::string cluster, RosterEntry self);
  ~Roster();
  Roster(const Roster&) = delete;
  Roster& operator=(const Roster&) = delete;

  /// Tries now, and then regularly while it holds no slot.
  void Start();

  /// Gives the slot up; `done` runs when the store was told, or could not be.
  void Leave(std::function<void()> done);

  bool HoldsSlot() const;

 private:
  class Implementation;
  std::shared_ptr<Implementation> implementation;
};

}  // namespace fireflyrun::store
