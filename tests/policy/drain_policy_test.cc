#include "policy/drain_policy.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "tests/policy/fake_target.h"

namespace fireflyrun::policy {
namespace {

/// A notice of 3 s, a drain of 5 s.
DrainWindow StopAtZero() { return {AtSeconds(3), AtSeconds(5)}; }

bool MayStartAt(double now, double deadline) {
  return DrainPolicy::MayStart(StopAtZero(), AtSeconds(deadline), AtSeconds(now));
}

TEST(DrainPolicyTest, EveryCallStartsDuringTheNotice) {
  EXPECT_TRUE(MayStartAt(0, 60));
  EXPECT_TRUE(MayStartAt(2.9, 60));
}

TEST(DrainPolicyTest, CallsWhoseDeadlineIsWithinTheDrainStart) {
  EXPECT_TRUE(MayStartAt(3.0, 5));
  EXPECT_TRUE(MayStartAt(4.9, 5));
}

TEST(DrainPolicyTest, CallsThatMayOutlastTheDrainDoNotStart) {
  EXPECT_FALSE(MayStartAt(3.0, 60));
  EXPECT_FALSE(MayStartAt(4.9, 5.1));
}

/// Guards against a call that is started by an estimate of its time and cut off at the drain's end:
/// calls of a kind that took 15 to 800 ms before take up to 20 s now, or never end. Each ends with
/// its answer or with its deadline.
RC_GTEST_PROP(DrainPolicyTest, StartedCallsEndWithinTheDrainHoweverLongTheyTake, ()) {
  const double now = *rc::gen::inRange(3000, 6000) / 1000.0;
  const double deadline = now + *rc::gen::inRange(1, 10'000) / 1000.0;
  const double time =
      *rc::gen::oneOf(rc::gen::inRange(15, 800), rc::gen::inRange(15, 20'000)) / 1000.0;
  const double end = std::min(now + time, deadline);
  const bool started = MayStartAt(now, deadline);
  RC_ASSERT(!started || end <= 5);
  RC_ASSERT(started || deadline > 5);
}

}  // namespace
}  // namespace fireflyrun::policy
