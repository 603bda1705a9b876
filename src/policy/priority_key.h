#pragma once

#include <compare>
#include <cstdint>
#include <limits>

#include "common/id128.h"

namespace fireflyrun::policy {

/// The priority of a call under load: by rank, then by a hash of the root request, so that every
/// hop prefers the same requests. Lower keys have higher priority.
struct PriorityKey {
  std::uint32_t rank = 0;
  std::uint32_t hash = 0;

  bool operator==(const PriorityKey&) const = default;
  std::strong_ordering operator<=>(const PriorityKey& other) const {
    if (this->rank != other.rank) return this->rank <=> other.rank;
    return this->hash <=> other.hash;
  }
};

/// The level that admits every key. An admission level is the highest key that is admitted.
inline constexpr PriorityKey kOpenLevel{std::numeric_limits<std::uint32_t>::max(),
                                        std::numeric_limits<std::uint32_t>::max()};

/// The key of a call made for the root request `root_id`; it is the same at every hop.
PriorityKey KeyFor(std::uint32_t rank, const Id128& root_id);

}  // namespace fireflyrun::policy
