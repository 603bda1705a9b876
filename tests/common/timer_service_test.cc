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

}  // namespace
}  // namespace fireflyrun
