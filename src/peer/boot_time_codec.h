#pragma once

#include <cstdint>
#include <optional>

#include "common/boot_clock.h"

namespace fireflyrun::peer {

/// In microseconds, at least 1, as 0 stands for an unknown time in a frame.
std::uint64_t EncodeBootTime(BootTime time);

/// Nothing for 0, and for more microseconds than a BootTime holds.
std::optional<BootTime> DecodeBootTime(std::uint64_t microseconds);

}  // namespace fireflyrun::peer
