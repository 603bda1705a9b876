#include "policy/target_subset.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "common/random.h"

namespace fireflyrun::policy {
namespace {

/// FNV-1a, 64 bits.
std::uint64_t HashText(std::string_view text) {
  std::uint64_t hash = 0xCBF29CE484222325ULL;
  for (const char byte : text) {
    hash ^= static_cast<unsigned char>(byte);
    hash *= 0x100000001B3ULL;
  }
  return hash;
}

}  // namespace

std::vector<const Candidate*> TargetSubset(std::vector<const Candidate*> candidates,
                                           std::string_view service, std::string_view caller_node,
                                           std::size_t size) {
  if (candidates.size() <= size) return candidates;
  const std::uint64_t pair_hash = MixBits(HashText(service) ^ MixBits(HashText(caller_node)));
  std::vector<std::pair<std::uint64_t, const Candidate*>> ranked;
  ranked.reserve(candidates.size());
  for (const Candidate* candidate : candidates) {
    ranked.emplace_back(MixBits(pair_hash ^ HashText(candidate->node)), candidate);
  }
  const auto before = [](const auto& one, const auto& other) {
    if (one.first != other.first) return one.first > other.first;
    return one.second->node < other.second->node;
  };
  const auto middle = ranked.begin() + static_cast<std::ptrdiff_t>(size);
  std::partial_sort(ranked.begin(), middle, ranked.end(), before);
  candidates.clear();
  for (auto entry = ranked.begin(); entry != middle; ++entry) candidates.push_back(entry->second);
  return candidates;
}

}  // namespace fireflyrun::policy
