#include "node/record_keeper.h"

#include <gtest/gtest.h>

#include <asio/io_context.hpp>
#include <vector>

#include "common/timer_service.h"
#include "node/record_codec.h"
#include "store/record_source.h"

namespace fireflyrun::node {
namespace {

constexpr Duration kPatience = std::chrono::milliseconds(500);
constexpr Duration kLimit = std::chrono::seconds(5);

/// Keeps what it is asked until the test answers.
class HeldSource : public store::RecordSource {
 public:
  void Read(ReadHandler handler) override { this->reads.push_back(std::move(handler)); }
  void WatchFrom(store::Revision, ChangeSetHook, TransferHook) override {}
  void StopWatch() override {}

  std::vector<ReadHandler> reads;
};

/// Without a membership, through which alone a keeper reaches other nodes.
class FollowingKeeperTest : public ::testing::Test {
 protected:
  void Answer(std::size_t read, std::int64_t revision) {
    this->source.reads.at(read)(store::RecordListing{{0, revision, {}}, revision, 0, "", {}});
  }

  asio::io_context loop;
  TimerService timers{loop};
  HeldSource source;
  RecordKeeper keeper{timers, &source, true};
  membership::RecordHooks hooks = keeper.Hooks();
};

TEST_F(FollowingKeeperTest, NewsOfPeersAreReadFromTheSourceAtOnceAndToldToNobody) {
  EXPECT_FALSE(this->hooks.accepts_peer_records(5));
  ASSERT_EQ(this->source.reads.size(), 1U);
  EXPECT_FALSE(this->hooks.accepts_peer_records(6)) << "a reading is under way";
  EXPECT_EQ(this->source.reads.size(), 1U);
  this->Answer(0, 6);
  EXPECT_EQ(this->hooks.local_revision(), 6U);
  EXPECT_FALSE(this->hooks.accepts_peer_records(7));
  EXPECT_EQ(this->source.reads.size(), 2U);
}

TEST_F(FollowingKeeperTest, PeersAreAskedOnceTheSourceKeptNewsBackForHalfASecond) {
  const SteadyTime heard = SteadyClock::now();
  EXPECT_FALSE(this->hooks.accepts_peer_records(5));
  bool takes = false;
  const auto poll = this->timers.Every(std::chrono::milliseconds(5), [&] {
    takes = takes || this->hooks.accepts_peer_records(5);
    if (takes) this->loop.stop();
  });
  this->loop.run_for(kLimit);
  EXPECT_TRUE(takes);
  EXPECT_GE(SteadyClock::now() - heard, kPatience);
  EXPECT_LT(SteadyClock::now() - heard, kLimit);
  const std::string told = EncodeTransfer({0, 5, {}});
  EXPECT_TRUE(this->hooks.apply_transfer(told));
  EXPECT_EQ(this->hooks.local_revision(), 5U);
  EXPECT_FALSE(this->hooks.accepts_peer_records(6)) << "other news are awaited anew";
}

TEST(DelegatedKeeperTest, WhereOnlyDelegatesFollowNewsComeFromPeers) {
  asio::io_context loop;
  TimerService timers(loop);
  HeldSource source;
  RecordKeeper keeper(timers, &source, false);
  EXPECT_FALSE(keeper.Hooks().accepts_peer_records);
}

}  // namespace
}  // namespace fireflyrun::node
