#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
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
    std::uint64_t generation = 0;  ///< Of the store, when it was seen.
  };

  /// Remembers a binding, in place of an earlier one of the key.
  void Add(Binding binding);

  /// The binding of a key, if it was seen within kKeptTime; it may have been replaced since.
  std::optional<Binding> Find(const std::string& store_key, SteadyTime now);

  /// Those seen within kKeptTime, oldest first.
  std::vector<Binding> All(SteadyTime now);

 private:
  void DropOld(SteadyTime now);

  std::list<Binding> bindings;  ///< Oldest first.
  std::unordered_map<std::string, std::list<Binding>::iterator> by_key;
};

}  // namespace fireflyrun::store
