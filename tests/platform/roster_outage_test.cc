#include <algorithm>

#include "store/roster.h"
#include "tests/platform/platform_fixture.h"

namespace fireflyrun::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// So long after the store's return a node is in the roster again.
constexpr seconds kReturnTime{2};
/// The store stand-in numbers its leases from here.
constexpr std::int64_t kFirstLease = 7001;
constexpr store::RosterTimes kShortTimes{seconds(2), milliseconds(400)};

/// A roster whose store is busy, down or silent for a while.
class RosterOutageTest : public PlatformFixture {
 protected:
  std::unique_ptr<store::Roster> Enter(const std::string& node,
                                       const store::RosterTimes& times = {},
                                       const std::string& zone = "z") {
    auto roster = std::make_unique<store::Roster>(
        *this->store, this->timers, "test",
        store::RosterEntry{zone, node, "127.0.0.1:1", "127.0.0.1:2"}, times);
    roster->Start();
    return roster;
  }

  std::vector<std::string> Nodes() {
    std::vector<std::string> names;
    bool done = false;
    store::ReadRoster(*this->store, "test", [&](auto entries) {
      done = true;
      if (!entries) return;
      for (const auto& entry : *entries) names.push_back(entry.node);
    });
    this->RunUntil([&] { return done; });
    return names;
  }

  void RunFor(Duration time) {
    const SteadyTime end = SteadyClock::now() + time;
    while (SteadyClock::now() < end) this->loop.run_one_until(end);
  }
};

/// Guards against a fleet that starts while the store is busy and whose nodes don't meet for
/// minutes after it.
TEST_F(RosterOutageTest, NodesThatStartWithoutTheStoreAreEnteredSoonAfterItsReturn) {
  for (const Mode mode : {Mode::kBusy, Mode::kThrottled, Mode::kDown, Mode::kReset, Mode::kSilent,
                          Mode::kLoseAnswers}) {
    SCOPED_TRACE(static_cast<int>(mode));
    this->standin.SetFault({mode});
    const std::string node = "n" + std::to_string(static_cast<int>(mode));
    auto roster = this->Enter(node);
    this->RunFor(milliseconds(2500));
    this->standin.SetFault({Mode::kOk});
    const SteadyTime back = SteadyClock::now();
    this->RunUntil([&] { return roster->HoldsSlot(); });
    EXPECT_LE(SteadyClock::now() - back, kReturnTime);
    bool left = false;
    roster->Leave([&] { left = true; });
    this->RunUntil([&] { return left; });
  }
}

/// Guards against a node that waits for minutes for a slot that nobody holds: its own earlier entry
/// ends between the reading and the writing.
TEST_F(RosterOutageTest, SlotThatBecomesFreeMeanwhileIsTakenSoon) {
  auto earlier = this->Enter("n");
  this->RunUntil([&] { return earlier->HoldsSlot(); });
  earlier.reset();
  const auto later = this->Enter("n");
  this->RunUntil([&] { return this->standin.Calls("/kv-lease") == 2; });
  this->standin.Model().EndLease(kFirstLease);
  const SteadyTime freed = SteadyClock::now();
  this->RunUntil([&] { return later->HoldsSlot(); });
  EXPECT_LE(SteadyClock::now() - freed, kReturnTime);
  EXPECT_EQ(this->standin.Calls("/kv-txn"), 3) << "the second write met the change";
}

/// Guards against a slot that is given up because one renewal met a busy store.
TEST_F(RosterOutageTest, RenewalsThatFailForAMomentCostNothing) {
  const auto roster = this->Enter("n", kShortTimes);
  this->RunUntil([&] { return roster->HoldsSlot(); });
  for (const Mode mode : {Mode::kBusy, Mode::kThrottled, Mode::kReset}) {
    SCOPED_TRACE(static_cast<int>(mode));
    this->standin.SetFault({mode});
    this->RunFor(milliseconds(700));
    this->standin.SetFault({Mode::kOk});
    EXPECT_TRUE(roster->HoldsSlot());
    this->RunFor(kShortTimes.lease_time_to_live);
    EXPECT_EQ(this->Nodes(), std::vector<std::string>{"n"});
  }
  EXPECT_EQ(this->standin.Calls("/kv-txn"), 1) << "the slot was written once";
}

/// Guards against a node that stays out of the roster for minutes after its lease has ended.
TEST_F(RosterOutageTest, LapsedEntryOfALivingNodeIsWrittenAgainSoonAfterTheStoresReturn) {
  const auto roster = this->Enter("n", kShortTimes);
  this->RunUntil([&] { return roster->HoldsSlot(); });
  this->standin.SetFault({Mode::kBusy});
  this->RunFor(2 * kShortTimes.lease_time_to_live);
  this->standin.SetFault({Mode::kOk});
  const SteadyTime back = SteadyClock::now();
  this->RunUntil([&] { return this->Nodes() == std::vector<std::string>{"n"}; });
  EXPECT_LE(SteadyClock::now() - back, kReturnTime);
}

/// Guards against renewals in step, all of which one short outage hits.
TEST_F(RosterOutageTest, NodesThatEnteredTogetherRenewAtDifferentTimes) {
  constexpr int kNodes = 16;
  const store::RosterTimes times{seconds(6), seconds(2)};
  std::vector<std::unique_ptr<store::Roster>> rosters;
  for (int i = 0; i < kNodes; ++i) {
    const std::string number = std::to_string(i);
    rosters.push_back(this->Enter("n" + number, times, "z" + number));
  }
  this->RunUntil([&] {
    return std::ranges::all_of(rosters, [](const auto& roster) { return roster->HoldsSlot(); });
  });
  std::vector<SteadyTime> renewals;
  this->RunUntil([&] {
    while (renewals.size() < static_cast<std::size_t>(this->standin.Calls("/kv-keep"))) {
      renewals.push_back(SteadyClock::now());
    }
    return renewals.size() >= rosters.size();
  });
  EXPECT_GT(renewals.back() - renewals.front(), times.renewal_period / 4);
}

}  // namespace
}  // namespace fireflyrun::platform
