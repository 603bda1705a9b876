#include "membership/name_hash.h"

#include "common/random.h"

namespace fireflyrun::membership {

namespace {

constexpr std::uint64_t kFnvOffset = 0xCBF29CE484222325ULL;
constexpr std::uint64_t kFnvPrime = 0x100000001B3ULL;

}  // namespace

std::uint64_t HashName(std::string_view name) {
  std::uint64_t hash = kFnvOffset;
  for (const char character : name) {
    hash ^= static_cast<unsigned char>(character);
    hash *= kFnvPrime;
  }
  return MixBits(hash);
}

}  // namespace fireflyrun::membership
