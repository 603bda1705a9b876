#include "common/timer_service.h"

#include <gtest/gtest.h>

#include <asio/post.hpp>
#include <thread>

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

TEST(TimerServiceTest, TellsHowLongTheLoopWasHeldUp) {
  constexpr std::chrono::milliseconds kBlocked(400);
  asio::io_context loop;
  TimerService timers(loop);
  const auto ticks = timers.Every(std::chrono::milliseconds(20), [] {});
  loop.run_for(std::chrono::milliseconds(60));
  Duration before_timers = Duration::zero();
  asio::post(loop, [&] {
    std::this_thread::sleep_for(kBlocked);
    before_timers = timers.LongestDelay();
  });
  loop.run_for(std::chrono::milliseconds(1));
  EXPECT_GE(before_timers, kBlocked);
  EXPECT_LT(before_timers, kBlocked + std::chrono::milliseconds(200));
  // The timers that were late have fired, so that only their lateness tells.
  loop.run_for(std::chrono::milliseconds(40));
  EXPECT_GE(timers.LongestDelay(), kBlocked - std::chrono::milliseconds(40));
  loop.run_for(std::chrono::milliseconds(200));
  EXPECT_LT(timers.LongestDelay(), kBlocked / 2);
}

}  // namespace
}  // namespace fireflyrun
