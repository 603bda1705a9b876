#pragma once

#include <cstddef>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/clock.h"

namespace fireflyrun::store {

/// The bindings of keys that this node made or read lately, to be restored if the store loses them.
class RecentBindings {
 public:
  /// A store comes back from a copy that is not older than this.
  static constexpr Duration kKeptTime = std::chrono::seconds(60);
  static constexpr std::size_t kMostKept = 10'000;

  struct Binding {
    std::string store_key;
    std::string ticket;
    SteadyTime seen_at;
  };

  /// Remembers a binding, in place of an earlier one of the key.
  void Add(const std::string& store_key, const std::string& ticket, SteadyTime now);

  /// Those seen within kKeptTime, oldest first.
  std::vector<Binding> All(SteadyTime now);

 private:
  void DropOld(SteadyTime now);

  std::list<Binding> bindings;  ///< Oldest first.
  std::unordered_map<std::string, std::list<Binding>::iterator> by_key;
};

}  // namespace fireflyrun::store
