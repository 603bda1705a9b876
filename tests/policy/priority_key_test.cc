#include "policy/priority_key.h"

#include <gtest/gtest.h>

namespace fireflyrun::policy {
namespace {

TEST(PriorityKeyTest, OrdersByRankBeforeHash) {
  EXPECT_LT((PriorityKey{0, 9}), (PriorityKey{1, 0}));
  EXPECT_LT((PriorityKey{1, 0}), (PriorityKey{1, 1}));
}

TEST(PriorityKeyTest, HashIsConstantPerRootAndSpreadOverRoots) {
  const Id128 root(5, 6);
  EXPECT_EQ(KeyFor(2, root), KeyFor(2, root));
  EXPECT_EQ(KeyFor(2, root).hash, KeyFor(3, root).hash);
  std::uint32_t low_half = 0;
  for (std::uint64_t i = 0; i < 1000; ++i) {
    if (KeyFor(0, Id128(0, i)).hash < (1U << 31)) low_half += 1;
  }
  EXPECT_NEAR(low_half, 500, 80);
}

}  // namespace
}  // namespace fireflyrun::policy
