#include "peer/backoff.h"

#include <algorithm>
#include <cstdint>

#include "common/random.h"

namespace fireflyrun::peer {
namespace {

constexpr Duration kFirstRange = std::chrono::milliseconds(20);
constexpr Duration kLastRange = std::chrono::milliseconds(500);

}  // namespace

Duration Backoff::Next() {
  this->range = std::clamp(this->range * 2, kFirstRange, kLastRange);
  const Duration half = this->range / 2;
  return half + Duration(RandomBelow(static_cast<std::uint64_t>(half.count())));
}

void Backoff::Reset() { this->range = Duration::zero(); }

}  // namespace fireflyrun::peer
