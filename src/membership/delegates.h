#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "membership/view.h"

namespace fireflyrun::membership {

/// Number of members per zone that exchange messages with other zones and watch the store.
inline constexpr std::size_t kDelegatesPerZone = 2;

/// Returns the `count` highest-ranked members of a zone, best first, by rendezvous hash of node and
/// zone (Thaler and Ravishankar, 1998). Members that are individually suspected or unreachable are
/// skipped, so that a replacement takes over before a suspicion is resolved. A zone that is cut off
/// is ranked as if it were reachable, so that its delegates can still be probed. Nodes whose views
/// differ may choose different delegates; surplus delegates are harmless.
View::StatePointers RankDelegates(const View& view, const std::string& zone,
                                  std::size_t count = kDelegatesPerZone);

bool IsDelegate(const View& view, std::string_view node, const std::string& zone,
                std::size_t count = kDelegatesPerZone);

}  // namespace fireflyrun::membership
