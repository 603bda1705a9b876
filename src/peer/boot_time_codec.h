#pragma once

#include <cstdint>
#include <optional>

#include "common/boot_clock.h"
#include "common/clock.h"

namespace fireflyrun::peer {

/// In microseconds, at least 1, as 0 stands for an unknown time in a frame.
std::uint64_t EncodeBootTime(BootTime time);

/// In microseconds, within the range of a frame's field.
std::uint32_t EncodeMicroseconds(Duration duration);

/// Nothing for 0, and for more microseconds than a BootTime holds.
std::optional<BootTime> DecodeBootTime(std::uint64_t microseconds);

}  // namespace fireflyrun::peer
