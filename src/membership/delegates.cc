#include "membership/delegates.h"

#include <algorithm>
#include <utility>

#include "common/random.h"
#include "membership/name_hash.h"

namespace fireflyrun::membership {

View::StatePointers RankDelegates(const View& view, const std::string& zone, std::size_t count) {
  const std::uint64_t zone_hash = HashName(zone);
  std::vector<std::pair<std::uint64_t, const MemberState*>> ranked;
  for (const MemberState* state : view.MembersOf(zone)) {
    if (!state->IsPresent()) continue;
    if (state->individual_reachability != Reachability::kReachable) continue;
    ranked.emplace_back(MixBits(state->name_hash ^ zone_hash), state);
  }
  const std::size_t kept = std::min(count, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(kept),
                    ranked.end(), [](const auto& left, const auto& right) {
                      if (left.first != right.first) return left.first > right.first;
                      return left.second->member.node < right.second->member.node;
                    });
  View::StatePointers delegates;
  for (std::size_t i = 0; i < kept; ++i) delegates.push_back(ranked[i].second);
  return delegates;
}

bool IsDelegate(const View& view, std::string_view node, const std::string& zone,
                std::size_t count) {
  const View::StatePointers delegates = RankDelegates(view, zone, count);
  return std::any_of(delegates.begin(), delegates.end(),
                     [node](const MemberState* state) { return state->member.node == node; });
}

}  // namespace fireflyrun::membership
