#pragma once

#include <cstdint>
#include <string_view>

namespace fireflyrun::membership {

/// A 64-bit hash of a name that is the same on every node (FNV-1a, then mixed).
std::uint64_t HashName(std::string_view name);

}  // namespace fireflyrun::membership
