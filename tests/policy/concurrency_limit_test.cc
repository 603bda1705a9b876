#include "policy/concurrency_limit.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "tests/policy/fake_target.h"

namespace fireflyrun::policy {
namespace {

constexpr double kRampSeconds = 5;

/// A target that always has as many calls in flight as the limit allows.
class SaturatedTarget {
 public:
  SaturatedTarget(std::uint32_t slots, std::size_t servers, std::function<double()> service)
      : target(servers, std::move(service)) {
    this->limit.SetCeiling(slots, AtSeconds(0));
  }

  void RunUntil(double seconds) {
    const SteadyTime end = AtSeconds(seconds);
    this->Fill();
    this->completed = 0;
    this->limit_sum = 0;
    this->lowest = this->highest = this->limit.Limit(this->now);
    while (this->target.NextAt() < end) this->Step();
    this->now = end;
  }

  FakeTarget& Target() { return this->target; }
  std::uint32_t Limit() const { return this->limit.Limit(this->now); }
  /// Of the latest run.
  std::uint32_t Lowest() const { return this->lowest; }
  std::uint32_t Highest() const { return this->highest; }
  /// Mean over the calls of the latest run.
  double MeanLimit() const { return this->limit_sum / this->completed; }
  std::uint32_t Completed() const { return this->completed; }
  void FailEvery(std::uint32_t calls) { this->fail_every = calls; }

 private:
  void Step() {
    const auto in_flight = static_cast<std::uint32_t>(this->target.InFlight());
    const auto completion = this->target.PopCompletion();
    this->now = completion.at;
    this->completed += 1;
    const bool failed = this->fail_every > 0 && this->completed % this->fail_every == 0;
    this->limit.OnSample(this->now - completion.started, !failed, in_flight, this->now);
    this->limit_sum += this->limit.Limit(this->now);
    this->lowest = std::min(this->lowest, this->limit.Limit(this->now));
    this->highest = std::max(this->highest, this->limit.Limit(this->now));
    this->Fill();
  }

  void Fill() {
    while (this->target.InFlight() < this->limit.Limit(this->now)) {
      this->target.Start(Id128(), this->now);
    }
  }

  ConcurrencyLimit limit;
  FakeTarget target;
  SteadyTime now = AtSeconds(0);
  std::uint32_t lowest = 0;
  std::uint32_t highest = 0;
  std::uint32_t completed = 0;
  std::uint32_t fail_every = 0;
  double limit_sum = 0;
};

TEST(ConcurrencyLimitTest, RampsUpFromASmallShare) {
  SaturatedTarget run(90, 90, ConstantService(0.05));
  EXPECT_EQ(run.Limit(), 9U);
  run.RunUntil(kRampSeconds / 2);
  EXPECT_NEAR(run.Limit(), 50, 5);
  run.RunUntil(kRampSeconds + 0.1);
  EXPECT_EQ(run.Limit(), 90U);
}

TEST(ConcurrencyLimitTest, HoldsTheSlotsOfATargetThatKeepsItsPace) {
  SaturatedTarget run(90, 90, ConstantService(0.05));
  run.RunUntil(kRampSeconds + 0.1);
  run.RunUntil(60);
  EXPECT_EQ(run.Lowest(), 90U);
}

class ConcurrencyLimitSeedTest : public testing::TestWithParam<std::uint64_t> {};

INSTANTIATE_TEST_SUITE_P(Seeds, ConcurrencyLimitSeedTest, testing::Range<std::uint64_t>(1, 9));

TEST_P(ConcurrencyLimitSeedTest, KeepsATargetWithVariedServiceTimesBusy) {
  SaturatedTarget run(90, 90, ExponentialService(0.05, GetParam()));
  run.RunUntil(kRampSeconds + 0.1);
  run.RunUntil(305.1);
  EXPECT_GT(run.Completed(), 0.95 * 300 * 90 / 0.05);
}

TEST_P(ConcurrencyLimitSeedTest, FindsTheConcurrencyBelowTheSlotsAndStaysThere) {
  SaturatedTarget run(90, 30, ExponentialService(0.05, GetParam()));
  run.RunUntil(20);
  run.RunUntil(620);
  EXPECT_GT(run.Completed(), 0.95 * 600 * 30 / 0.05);
  EXPECT_LT(run.MeanLimit(), 60);
}

TEST(ConcurrencyLimitTest, KeepsConcurrencyWhenTheTargetIsSlowForAnotherReason) {
  SaturatedTarget run(90, 90, ConstantService(0.02));
  run.RunUntil(10);
  run.Target().SetService(ConstantService(0.2));
  run.RunUntil(15);
  run.RunUntil(75);
  EXPECT_GT(run.Completed(), 0.95 * 60 * 90 / 0.2);
}

TEST(ConcurrencyLimitTest, RecoversWithinTwoSecondsOfASlowPeriod) {
  SaturatedTarget run(90, 30, ConstantService(0.02));
  run.RunUntil(10);
  run.Target().SetService(ConstantService(0.2));
  run.RunUntil(130);
  run.Target().SetService(ConstantService(0.02));
  run.RunUntil(132);
  run.RunUntil(142);
  EXPECT_GT(run.Completed(), 0.95 * 10 * 30 / 0.02);
  EXPECT_LT(run.Highest(), 60U);
}

TEST(ConcurrencyLimitTest, UsesFewSlotsFullyAfterASlowPeriodOfAnyLength) {
  for (int slow_seconds = 5; slow_seconds <= 60; ++slow_seconds) {
    SaturatedTarget run(10, 10, ConstantService(0.1));
    run.RunUntil(10);
    run.Target().SetService(ConstantService(1));
    run.RunUntil(10 + slow_seconds);
    run.Target().SetService(ConstantService(0.1));
    run.RunUntil(12 + slow_seconds);
    run.RunUntil(20 + slow_seconds);
    EXPECT_GT(run.Completed(), 0.95 * 8 * 10 / 0.1) << slow_seconds << " s";
  }
}

TEST(ConcurrencyLimitTest, FallsWhileAllCallsFailAndRecovers) {
  SaturatedTarget run(90, 90, ConstantService(0.02));
  run.RunUntil(10);
  run.FailEvery(1);
  run.RunUntil(20);
  EXPECT_EQ(run.Limit(), 1U);
  run.FailEvery(0);
  run.RunUntil(22.5);
  EXPECT_EQ(run.Limit(), 90U);
}

TEST(ConcurrencyLimitTest, SomeFailuresDoNotCollapseIt) {
  SaturatedTarget run(90, 90, ConstantService(0.02));
  run.RunUntil(10);
  run.FailEvery(2);
  run.RunUntil(12);
  run.RunUntil(30);
  EXPECT_GT(run.Completed(), 0.9 * 18 * 90 / 0.02);
}

TEST(ConcurrencyLimitTest, DoesNotGrowWhileItIsNotInUse) {
  ConcurrencyLimit limit;
  limit.SetCeiling(100, AtSeconds(0));
  SteadyTime now = AtSeconds(10);
  const auto feed = [&](std::uint32_t in_flight, bool ok, int count) {
    for (int i = 0; i < count; ++i) {
      now += std::chrono::milliseconds(5);
      limit.OnSample(std::chrono::milliseconds(5), ok, in_flight, now);
    }
  };
  feed(100, false, 2000);
  ASSERT_EQ(limit.Limit(now), 1U);
  feed(1, true, 2000);
  const std::uint32_t grown = limit.Limit(now);
  feed(1, true, 2000);
  EXPECT_EQ(limit.Limit(now), grown);
  EXPECT_LE(grown, 4U);
}

TEST(ConcurrencyLimitTest, IsZeroWithoutSlots) {
  ConcurrencyLimit limit;
  EXPECT_EQ(limit.Limit(AtSeconds(0)), 0U);
  limit.SetCeiling(3, AtSeconds(0));
  EXPECT_EQ(limit.Limit(AtSeconds(0)), 1U);
  limit.SetCeiling(0, AtSeconds(1));
  EXPECT_EQ(limit.Limit(AtSeconds(1)), 0U);
}

}  // namespace
}  // namespace fireflyrun::policy
