#include "policy/priority_key.h"

#include "common/random.h"

namespace fireflyrun::policy {

PriorityKey KeyFor(std::uint32_t rank, const Id128& root_id) {
  const std::uint64_t mixed = MixBits(root_id.High() ^ MixBits(root_id.Low()));
  return {rank, static_cast<std::uint32_t>(mixed >> 32)};
}

}  // namespace fireflyrun::policy
