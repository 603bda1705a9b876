#pragma once

#include <cstdint>
#include <random>

namespace fireflyrun {

/// The calling thread's generator, seeded once by the operating system.
std::mt19937_64& ThreadGenerator();

/// 64 uniformly distributed bits.
std::uint64_t RandomBits();

/// A uniform integer in [0, bound); `bound` must be positive.
std::uint64_t RandomBelow(std::uint64_t bound);

/// Mixes a value so that every input bit affects every output bit (the finalizer of SplitMix64).
std::uint64_t MixBits(std::uint64_t value);

}  // namespace fireflyrun
