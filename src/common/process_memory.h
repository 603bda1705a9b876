#pragma once

#include <cstdint>

namespace fireflyrun {

/// Bytes of memory that the process has resident; 0 where the system doesn't tell.
std::uint64_t ResidentBytes();

/// Lets the allocator return each block of 256 KiB or more to the system as soon as it is freed.
/// By default it keeps ever larger ones for later use, and large bodies that come and go would add
/// up to several times what is held of them.
void ReturnLargeBlocks();

}  // namespace fireflyrun
