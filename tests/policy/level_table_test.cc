#include "policy/level_table.h"

#include <gtest/gtest.h>

#include "tests/policy/fake_target.h"

namespace fireflyrun::policy {
namespace {

TEST(LevelTableTest, AppliesEachLevelToItsServiceAndNodeOnly) {
  LevelTable table;
  table.OnLevelReported("tills", "a", {1, 100}, AtSeconds(0));
  EXPECT_TRUE(table.Admits("tills", "a", {1, 100}, AtSeconds(0.5)));
  EXPECT_FALSE(table.Admits("tills", "a", {1, 101}, AtSeconds(0.5)));
  EXPECT_TRUE(table.Admits("tills", "b", {1, 101}, AtSeconds(0.5)));
  EXPECT_TRUE(table.Admits("scans", "a", {1, 101}, AtSeconds(0.5)));
  table.OnLevelReported("tills", "a", kOpenLevel, AtSeconds(0.6));
  EXPECT_TRUE(table.Admits("tills", "a", {1, 101}, AtSeconds(0.6)));
}

TEST(LevelTableTest, LoosensInStepsWithoutReports) {
  LevelTable table;
  table.OnLevelReported("tills", "a", {0, 0}, AtSeconds(0));
  PriorityKey last{0, 0};
  int steps = 0;
  for (double at = 0; at < 4.99; at += 0.01) {
    const PriorityKey level = table.Level("tills", "a", AtSeconds(at));
    ASSERT_LE(last, level);
    ASSERT_TRUE(at >= 1 || level == last);
    steps += level > last ? 1 : 0;
    last = level;
  }
  EXPECT_GE(steps, 10);
  EXPECT_LT(last, kOpenLevel);
  EXPECT_EQ(table.Level("tills", "a", AtSeconds(5)), kOpenLevel);
}

TEST(LevelTableTest, AdmitsOneInAHundredRefusedCallsAsProbe) {
  LevelTable table;
  table.OnLevelReported("tills", "a", {0, 0}, AtSeconds(0));
  int admitted = 0;
  for (int i = 0; i < 1000; ++i) {
    admitted += table.Admits("tills", "a", {3, 0}, AtSeconds(0.1)) ? 1 : 0;
  }
  EXPECT_EQ(admitted, 10);
}

TEST(LevelTableTest, TightestReturnsTheLowerLevel) {
  EXPECT_EQ(Tightest({1, 5}, {0, 9}), (PriorityKey{0, 9}));
  EXPECT_EQ(Tightest({0, 9}, kOpenLevel), (PriorityKey{0, 9}));
}

}  // namespace
}  // namespace fireflyrun::policy
