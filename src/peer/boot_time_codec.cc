#include "peer/boot_time_codec.h"

#include <algorithm>
#include <limits>

namespace fireflyrun::peer {

std::uint64_t EncodeBootTime(BootTime time) {
  const auto microseconds = ToMicroseconds(time.time_since_epoch()).count();
  return static_cast<std::uint64_t>(std::max<std::int64_t>(microseconds, 1));
}

std::uint32_t EncodeMicroseconds(Duration duration) {
  constexpr std::int64_t kMost = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(ToMicroseconds(duration).count(), 0, kMost));
}

std::optional<BootTime> DecodeBootTime(std::uint64_t microseconds) {
  constexpr auto kLatest =
      static_cast<std::uint64_t>(ToMicroseconds(BootTime::max().time_since_epoch()).count());
  if (microseconds == 0 || microseconds > kLatest) return std::nullopt;
  return BootTime(std::chrono::microseconds(microseconds));
}

}  // namespace fireflyrun::peer
