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
    this->lowest_limit = this->highest_limit = this->limit.Limit(this->now);
    while (this->target.NextAt() < end) this->Step();
    this->now = end;
  }

  FakeTarget& Target() { return this->target; }
  std::uint32_t Limit() const { return this->limit.Limit(this->now); }
  /// Minimum limit of the latest run.
  std::uint32_t LowestLimit() const { return this->lowest_limit; }
  /// Maximum limit of the latest run.
  std::uint32_t HighestLimit() const { return this->highest_limit; }
  /// Mean limit over the calls of the latest run.
  double MeanLimit() const { return this->limit_sum / this->completed; }
  std::uint32_t Completed() const { return this->completed; }
  void FailOneIn(std::uint32_t calls) { this->fail_one_in = calls; }

 private:
  void Step() {
    const auto in_flight = static_cast<std::uint32_t>(this->target.InFlight());
    const auto completion = this->target.PopCompletion();
    this->now = completion.at;
    this->completed += 1;
    const bool failed = this->fail_one_in > 0 && this->completed % this->fail_one_in == 0;
    this->limit.OnSample(this->now - completion.started, !failed, in_flight, this->now);
    this->limit_sum += this->limit.Limit(this->now);
    this->lowest_limit = std::min(this->lowest_limit, this->limit.Limit(this->now));
    this->highest_limit = std::max(this->highest_limit, this->limit.Limit(this->now));
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
  std::uint32_t lowest_limit = 0;
  std::uint32_t highest_limit = 0;
  std::uint32_t completed = 0;
  std::uint32_t fail_one_in = 0;
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

TEST(ConcurrencyLimitTest, KeepsAllSlotsWithConstantServiceTime) {
  SaturatedTarget run(90, 90, ConstantService(0.05));
  run.RunUntil(kRampSeconds + 0.1);
  run.RunUntil(60);
  EXPECT_EQ(run.LowestLimit(), 90U);
}

class ConcurrencyLimitSeedTest : public testing::TestWithParam<std::uint64_t> {};

INSTANTIATE_TEST_SUITE_P(Seeds, ConcurrencyLimitSeedTest, testing::Range<std::uint64_t>(1, 9));

TEST_P(ConcurrencyLimitSeedTest, KeepsATargetWithVaryingServiceTimesBusy) {
  SaturatedTarget run(90, 90, ExponentialService(0.05, GetParam()));
  run.RunUntil(kRampSeconds + 0.1);
  run.RunUntil(305.1);
  EXPECT_GT(run.Completed(), 0.95 * 300 * 90 / 0.05);
}

TEST_P(ConcurrencyLimitSeedTest, ConvergesToAConcurrencyBelowTheSlots) {
  SaturatedTarget run(90, 30, ExponentialService(0.05, GetParam()));
  run.RunUntil(20);
  run.RunUntil(620);
  EXPECT_GT(run.Completed(), 0.95 * 600 * 30 / 0.05);
  EXPECT_LT(run.MeanLimit(), 60);
}

TEST(ConcurrencyLimitTest, KeepsConcurrencyWhenTheTargetSlowsForAnotherReason) {
  SaturatedTarget run(90, 90, ConstantService(0.02));
  run.RunUntil(10);
  run.Target().SetService(ConstantService(0.2));
  run.RunUntil(15);
  run.RunUntil(75);
  EXPECT_GT(run.Completed(), 0.95 * 60 * 90 / 0.2);
}

TEST(ConcurrencyLimitTest, RecoversWithinTwoSecondsAfterASlowPeriod) {
  SaturatedTarget run(90, 30, ConstantService(0.02));
  run.RunUntil(10);
  run.Target().SetService(ConstantService(0.2));
  run.RunUntil(130);
  run.Target().SetService(ConstantService(0.02));
  run.RunUntil(132);
  run.RunUntil(142);
  EXPECT_GT(run.Completed(), 0.95 * 10 * 30 / 0.02);
  EXPECT_LT(run.HighestLimit(), 60U);
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
  run.FailOneIn(1);
  run.RunUntil(20);
  EXPECT_EQ(run.Limit(), 1U);
  run.FailOneIn(0);
  run.RunUntil(22.5);
  EXPECT_EQ(run.Limit(), 90U);
}

TEST(ConcurrencyLimitTest, PartialFailuresDoNotCollapseTheLimit) {
  SaturatedTarget run(90, 90, ConstantService(0.02));
  run.RunUntil(10);
  run.FailOneIn(2);
  run.RunUntil(12);
  run.RunUntil(30);
  EXPECT_GT(run.Completed(), 0.9 * 18 * 90 / 0.02);
}

TEST(ConcurrencyLimitTest, DoesNotGrowWhileNotInUse) {
  ConcurrencyLimit limit;
  limit.SetCeiling(100, AtSeconds(0));
  SteadyTime now = AtSeconds(10);
  const auto add_samples = [&](std::uint32_t in_flight, bool ok, int count) {
    for (int i = 0; i < count; ++i) {
      now += std::chrono::milliseconds(5);
      limit.OnSample(std::chrono::milliseconds(5), ok, in_flight, now);
    }
  };
  add_samples(100, false, 2000);
  ASSERT_EQ(limit.Limit(now), 1U);
  add_samples(1, true, 2000);
  const std::uint32_t limit_after_growth = limit.Limit(now);
  add_samples(1, true, 2000);
  EXPECT_EQ(limit.Limit(now), limit_after_growth);
  EXPECT_LE(limit_after_growth, 4U);
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
