#include "peer/backoff.h"

#include <algorithm>
#include <cstdint>

#include "common/random.h"

namespace fireflyrun::peer {
namespace {

constexpr Duration kInitialBound = std::chrono::milliseconds(20);
constexpr Duration kMaxBound = std::chrono::milliseconds(500);

}  // namespace

Duration Backoff::Next() {
  this->bound = std::clamp(this->bound * 2, kInitialBound, kMaxBound);
  const Duration half = this->bound / 2;
  return half + Duration(RandomBelow(static_cast<std::uint64_t>(half.count())));
}

void Backoff::Reset() { this->bound = Duration::zero(); }

}  // namespace fireflyrun::peer
