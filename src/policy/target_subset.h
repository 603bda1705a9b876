#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "policy/candidate.h"

namespace fireflyrun::policy {

/// The `size` candidates that rank first for the pair of caller node and service by rendezvous
/// hashing (Thaler and Ravishankar 1998), best first. When one candidate is added or removed, at
/// most one element of the subset changes.
std::vector<const Candidate*> TargetSubset(std::vector<const Candidate*> candidates,
                                           std::string_view service, std::string_view caller_node,
                                           std::size_t size);

}  // namespace fireflyrun::policy
