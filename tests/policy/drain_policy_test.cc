#include "policy/drain_policy.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "policy/call_times.h"
#include "tests/policy/fake_target.h"

namespace fireflyrun::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A notice of 3 s, a drain of 5 s.
DrainWindow StopAtZero() { return {AtSeconds(3), AtSeconds(5)}; }

DrainCall Idempotent(double deadline, std::optional<Duration> longest_time) {
  return {false, AtSeconds(deadline), longest_time};
}

DrainCall AtMostOnce(double deadline, std::optional<Duration> longest_time) {
  return {true, AtSeconds(deadline), longest_time};
}

bool MayStartAt(double now, const DrainCall& call) {
  return DrainPolicy::MayStart(StopAtZero(), call, AtSeconds(now));
}

TEST(DrainPolicyTest, EveryCallStartsDuringTheNotice) {
  EXPECT_TRUE(MayStartAt(2.9, Idempotent(60, std::nullopt)));
  EXPECT_TRUE(MayStartAt(2.9, AtMostOnce(60, seconds(4))));
}

TEST(DrainPolicyTest, CallsWhoseDeadlineIsWithinTheDrainStart) {
  EXPECT_TRUE(MayStartAt(4.9, Idempotent(5, std::nullopt)));
  EXPECT_TRUE(MayStartAt(4.9, AtMostOnce(5, seconds(4))));
  EXPECT_FALSE(MayStartAt(4.9, AtMostOnce(5.1, milliseconds(1))));
}

TEST(DrainPolicyTest, IdempotentCallsStartWhileTwiceTheirTimeIsLeft) {
  EXPECT_TRUE(MayStartAt(3.3, Idempotent(60, milliseconds(800))));
  EXPECT_FALSE(MayStartAt(3.5, Idempotent(60, milliseconds(800))));
  EXPECT_FALSE(MayStartAt(3.1, Idempotent(60, std::nullopt)));
}

TEST(DrainPolicyTest, AtMostOnceCallsThatMayOutlastTheDrainDoNotStart) {
  EXPECT_FALSE(MayStartAt(3.0, AtMostOnce(60, milliseconds(1))));
}

TEST(CallTimesTest, KeepsTheLongestOfTheLastWindows) {
  CallTimes times;
  EXPECT_EQ(times.Longest("a"), std::nullopt);
  times.Add("a", milliseconds(800), AtSeconds(0));
  times.Add("a", milliseconds(20), AtSeconds(9));
  times.Add("b", milliseconds(5), AtSeconds(9));
  EXPECT_EQ(times.Longest("a"), milliseconds(800));
  times.Add("a", milliseconds(30), AtSeconds(11));
  EXPECT_EQ(times.Longest("a"), milliseconds(800));
  times.Add("a", milliseconds(30), AtSeconds(22));
  EXPECT_EQ(times.Longest("a"), milliseconds(30));
  EXPECT_EQ(times.Longest("b"), milliseconds(5));
}

TEST(CallTimesTest, RemembersAKindThatPaused) {
  CallTimes times;
  times.Add("a", milliseconds(800), AtSeconds(0));
  EXPECT_EQ(times.Longest("a"), milliseconds(800));
  times.Add("a", milliseconds(10), AtSeconds(300));
  EXPECT_EQ(times.Longest("a"), milliseconds(10));
}

/// A target that makes calls of 15 to 800 ms all through a planned stop, of both kinds, with the
/// times of the calm before it.
TEST(DrainPolicyTest, PlannedStopCutsOffNoCallOfTheLocalTarget) {
  constexpr double kLongest = 0.8;
  std::mt19937 random(20261205);
  const auto draw_time = [&random] {
    return 0.015 + (kLongest - 0.015) * static_cast<double>(random() % 1000) / 1000;
  };
  CallTimes times;
  for (int i = 0; i < 200; ++i) {
    const auto time =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(draw_time()));
    times.Add("leaf", time, AtSeconds(-10 + 0.05 * i));
  }
  int started_late = 0;
  int refused = 0;
  for (double now = 3; now < 5; now += 0.005) {
    for (const bool at_most_once : {false, true}) {
      const double end = now + draw_time();
      const double deadline = now + 4;
      const DrainCall call{at_most_once, AtSeconds(deadline), times.Longest("leaf")};
      if (!MayStartAt(now, call)) {
        ++refused;
        continue;
      }
      ++started_late;
      EXPECT_FALSE(at_most_once) << now;
      EXPECT_LE(end, 5) << now;
    }
  }
  EXPECT_GT(started_late, 0);
  EXPECT_GT(refused, 0);
}

}  // namespace
}  // namespace fireflyrun::policy
