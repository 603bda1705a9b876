#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "membership/view.h"

namespace fireflyrun::membership {

/// How many members of a zone speak with other zones and watch the store.
inline constexpr std::size_t kDelegatesPerZone = 2;

/// The first `count` of a zone's members by rendezvous hash of node and zone (Thaler and
/// Ravishankar, 1998), best first. A member suspected or believed unreachable by itself is passed
/// over, so that another takes its place before the suspicion is settled; a cut zone is ranked as
/// if it were not cut, so that it can be tried. Views that differ name different delegates; one too
/// many does no harm.
View::StatePointers RankDelegates(const View& view, const std::string& zone,
                                  std::size_t count = kDelegatesPerZone);

bool IsDelegate(const View& view, std::string_view node, const std::string& zone,
                std::size_t count = kDelegatesPerZone);

}  // namespace fireflyrun::membership
