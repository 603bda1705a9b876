#include "peer/remote_clock.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace fireflyrun::peer {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

const BootTime kStart(seconds(1000));
constexpr Duration kLead = hours(5);

BootTime Remote(BootTime local) { return local + kLead; }

/// A round trip begun at `sent` with these times on the way there and back.
void AddRoundTrip(RemoteClock& clock, BootTime sent, Duration there, Duration back) {
  clock.Add(sent, Remote(sent + there), sent + there + back);
}

TEST(RemoteClockTest, IsUnknownBeforeTheFirstRoundTrip) { EXPECT_FALSE(RemoteClock().At(kStart)); }

TEST(RemoteClockTest, SlowReplyDoesNotSpoilWhatAQuickOneShowed) {
  RemoteClock clock;
  AddRoundTrip(clock, kStart, milliseconds(1), milliseconds(1));
  AddRoundTrip(clock, kStart + milliseconds(10), seconds(2), seconds(1));
  const BootTime later = kStart + seconds(4);
  EXPECT_GE(clock.At(later), Remote(later) - milliseconds(10));
}

TEST(RemoteClockTest, FollowsAClockThatWasSetBack) {
  RemoteClock clock;
  AddRoundTrip(clock, kStart, milliseconds(1), milliseconds(1));
  const BootTime sent = kStart + seconds(1);
  const BootTime set_back = Remote(sent) - hours(1);
  clock.Add(sent, set_back, sent + milliseconds(2));
  EXPECT_LE(clock.At(sent + milliseconds(2)), set_back + milliseconds(2));
}

RC_GTEST_PROP(RemoteClockTest, NeverRunsAheadOfTheRemoteClock, ()) {
  RemoteClock clock;
  BootTime now = kStart;
  const int round_trips = *rc::gen::inRange(1, 20);
  for (int i = 0; i < round_trips; ++i) {
    const auto there = milliseconds(*rc::gen::inRange(0, 3000));
    const auto back = milliseconds(*rc::gen::inRange(0, 3000));
    AddRoundTrip(clock, now, there, back);
    now += there + back + milliseconds(*rc::gen::inRange(0, 100'000));
    RC_ASSERT(*clock.At(now) <= Remote(now));
  }
}

}  // namespace
}  // namespace fireflyrun::peer
