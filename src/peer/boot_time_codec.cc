#include "peer/boot_time_codec.h"

#include <algorithm>

#include "common/clock.h"

namespace fireflyrun::peer {

std::uint64_t EncodeBootTime(BootTime time) {
  const auto microseconds = ToMicroseconds(time.time_since_epoch()).count();
  return static_cast<std::uint64_t>(std::max<std::int64_t>(microseconds, 1));
}

std::optional<BootTime> DecodeBootTime(std::uint64_t microseconds) {
  constexpr auto kLatest =
      static_cast<std::uint64_t>(ToMicroseconds(BootTime::max().time_since_epoch()).count());
  if (microseconds == 0 || microseconds > kLatest) return std::nullopt;
  return BootTime(std::chrono::microseconds(microseconds));
}

}  // namespace fireflyrun::peer
