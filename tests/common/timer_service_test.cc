#include "common/timer_service.h"

#include <gtest/gtest.h>

namespace fireflyrun {
namespace {

using std::chrono::milliseconds;

TEST(TimerServiceTest, CallsOnceAfterTheDelay) {
  asio::io_context loop;
  TimerService timers(loop);
  int calls = 0;
  const auto subscription = timers.After(milliseconds(1), [&] { ++calls; });
  loop.run();
  EXPECT_EQ(calls, 1);
}

TEST(TimerServiceTest, RepeatsUntilTheSubscriptionIsResetInsideItsCallback) {
  asio::io_context loop;
  TimerService timers(loop);
  int calls = 0;
  TimerSubscription subscription;
  subscription = timers.Every(milliseconds(1), [&] {
    if (++calls == 3) subscription.Reset();
  });
  loop.run();
  EXPECT_EQ(calls, 3);
}

TEST(TimerServiceTest, DestroyedSubscriptionNeverFires) {
  asio::io_context loop;
  TimerService timers(loop);
  bool called = false;
  {
    const auto subscription = timers.After(milliseconds(1), [&] { called = true; });
  }
  loop.run();
  EXPECT_FALSE(called);
}

TEST(TimerServiceTest, SlotsLieAWholeNumberOfPeriodsApart) {
  asio::io_context loop;
  const TimerService timers(loop);
  const Duration period = std::chrono::hours(1);
  const SteadyTime before = SteadyClock::now();
  const Duration left = timers.UntilNextSlot(period);
  const Duration left_of_part = timers.UntilNextSlot(period / 4);
  const Duration spent = SteadyClock::now() - before;
  EXPECT_GT(left, Duration::zero());
  EXPECT_LE(left, period);
  EXPECT_GT(left_of_part, Duration::zero());
  EXPECT_LE(left_of_part, period / 4);
  const Duration apart = (left - left_of_part + period / 8) % (period / 4) - period / 8;
  EXPECT_LE(apart, spent);
  EXPECT_GE(apart, -spent);
}

}  // namespace
}  // namespace fireflyrun
