#pragma once

#include <cstdint>
#include <string_view>

namespace fireflyrun::membership {

/// Returns a 64-bit hash of a name that is the same on every node (FNV-1a, then MixBits).
std::uint64_t HashName(std::string_view name);

}  // namespace fireflyrun::membership
