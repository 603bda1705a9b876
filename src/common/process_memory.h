#pragma once

#include <cstdint>

namespace fireflyrun {

/// Bytes of memory that the process has resident; 0 where the system doesn't tell.
std::uint64_t ResidentBytes();

}  // namespace fireflyrun
