#include "policy/target_load.h"

#include <gtest/gtest.h>

#include "tests/policy/fake_target.h"

namespace fireflyrun::policy {
namespace {

void Answer(TargetLoad* load, CallOutcome outcome, double at, const ReportedLoad& reported = {}) {
  load->OnSent();
  load->OnAnswered(outcome, std::chrono::milliseconds(10), reported, AtSeconds(at));
}

TEST(TargetLoadTest, ReportedLoadIsCorrectedByLocalCallsAndExpires) {
  TargetLoad load;
  load.OnSent();
  Answer(&load, CallOutcome::kSucceeded, 0, {.in_flight = 40, .limit = 60});
  load.OnSent();
  EXPECT_EQ(load.InFlight(AtSeconds(1)), 41);
  EXPECT_EQ(load.Limit(90, AtSeconds(1)), 60);
  EXPECT_EQ(load.InFlight(AtSeconds(3)), 2);
  EXPECT_EQ(load.Limit(90, AtSeconds(3)), 90);
}

TEST(TargetLoadTest, RefusalsAndCancellationsDoNotCountAsFailures) {
  TargetLoad load;
  for (int i = 0; i < 50; ++i) Answer(&load, CallOutcome::kRefused, i);
  for (int i = 0; i < 50; ++i) Answer(&load, CallOutcome::kCancelled, i);
  EXPECT_FALSE(load.Ejected());
}

TEST(TargetLoadTest, EjectionTimeGrowsToACapAndEndsWithASuccessfulProbe) {
  TargetLoad load;
  for (int i = 0; i < 5; ++i) Answer(&load, CallOutcome::kTimedOut, 0);
  ASSERT_TRUE(load.Ejected());
  EXPECT_FALSE(load.ProbeDue(AtSeconds(0.9)));
  double at = 0;
  double longest = 0;
  for (int i = 0; i < 10; ++i) {
    const double length =
        std::chrono::duration<double>(load.EjectedUntil() - AtSeconds(at)).count();
    EXPECT_GE(length, longest);
    longest = length;
    at += length;
    ASSERT_TRUE(load.ProbeDue(AtSeconds(at)));
    load.OnSent();
    EXPECT_FALSE(load.ProbeDue(AtSeconds(at)));
    load.OnAnswered(CallOutcome::kFailed, {}, {}, AtSeconds(at));
  }
  EXPECT_NEAR(longest, 32, 0.001);
  Answer(&load, CallOutcome::kSucceeded, at + 40);
  EXPECT_FALSE(load.Ejected());
}

TEST(TargetLoadTest, LateFailuresOfEarlierCallsDoNotLengthenAnEjection) {
  TargetLoad load;
  for (int i = 0; i < 30; ++i) load.OnSent();
  for (int i = 0; i < 30; ++i) load.OnAnswered(CallOutcome::kLinkLost, {}, {}, AtSeconds(0));
  EXPECT_EQ(load.EjectedUntil(), AtSeconds(1));
}

TEST(TargetLoadTest, OnlyConsecutiveSuccessesEndAnEjectionEarly) {
  TargetLoad load;
  for (int i = 0; i < 5; ++i) Answer(&load, CallOutcome::kFailed, 0);
  for (int i = 0; i < 4; ++i) Answer(&load, CallOutcome::kSucceeded, 0.1);
  EXPECT_TRUE(load.Ejected());
  Answer(&load, CallOutcome::kFailed, 0.2);
  for (int i = 0; i < 4; ++i) Answer(&load, CallOutcome::kSucceeded, 0.3);
  EXPECT_TRUE(load.Ejected());
  Answer(&load, CallOutcome::kSucceeded, 0.4);
  EXPECT_FALSE(load.Ejected());
}

TEST(TargetLoadTest, FrequentFailuresBetweenSuccessesEject) {
  TargetLoad load;
  for (int i = 0; i < 60; ++i) {
    Answer(&load, i % 4 == 0 ? CallOutcome::kSucceeded : CallOutcome::kFailed, 0);
  }
  EXPECT_TRUE(load.Ejected());
}

}  // namespace
}  // namespace fireflyrun::policy
