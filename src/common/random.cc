#include "common/random.h"

#include <array>

namespace fireflyrun {
namespace {

std::mt19937_64 SeededGenerator() {
  std::random_device device;
  std::array<std::uint32_t, 8> words{};
  for (auto& word : words) word = device();
  std::seed_seq seed(words.begin(), words.end());
  return std::mt19937_64(seed);
}

}  // namespace

std::mt19937_64& ThreadGenerator() {
  thread_local std::mt19937_64 generator = SeededGenerator();
  return generator;
}

std::uint64_t RandomBits() { return ThreadGenerator()(); }

std::uint64_t RandomBelow(std::uint64_t bound) {
  return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(ThreadGenerator());
}

std::uint64_t MixBits(std::uint64_t value) {
  value += 0x9E3779B97F4A7C15ULL;
  value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9ULL;
  value = (value ^ (value >> 27)) * 0x94D049BB133111EBULL;
  return value ^ (value >> 31);
}

}  // namespace fireflyrun
