#pragma once

#include <deque>
#include <string>
#include <vector>

#include "store/recent_bindings.h"

namespace fireflyrun::store {

/// The tickets that this node withdrew lately. A copy from which the store comes back may hold one
/// of them and not its withdrawal, so each is withdrawn again then.
class WithdrawnTickets {
 public:
  void Add(const std::string& store_key, const std::string& ticket, SteadyTime now);

  /// The key is bound to the ticket after all, by a later operation.
  void Forget(const std::string& store_key, const std::string& ticket);

  /// Those of the last RecentBindings::kKeptTime, RecentBindings::kMostKept at most.
  std::vector<RecentBindings::Binding> All(SteadyTime now);

 private:
  std::deque<RecentBindings::Binding> tickets;  ///< Oldest first.
};

}  // namespace fireflyrun::store
