#include "node/record_keeper.h"

#include <gtest/gtest.h>

#include <asio/io_context.hpp>
#include <vector>

#include "common/timer_service.h"
#include "node/record_codec.h"
#include "store/record_source.h"

namespace fireflyrun::node {
namespace {

constexpr Duration kSourceWaitLimit = std::chrono::milliseconds(500);
constexpr Duration kLimit = std::chrono::seconds(5);

/// Holds reads until the test answers them.
class HeldSource : public store::RecordSource {
 public:
  void Read(ReadHandler handler) override { this->reads.push_back(std::move(handler)); }
  void WatchFrom(store::Revision, ChangeSetHook, TransferHook) override {}
  void StopWatch() override {}

  std::vector<ReadHandler> reads;
};

/// Has no membership, the keeper's only way to reach other nodes.
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

TEST_F(FollowingKeeperTest, ReadsRevisionsOfPeersFromSourceWithoutPublishing) {
  EXPECT_FALSE(this->hooks.accepts_peer_records(5));
  ASSERT_EQ(this->source.reads.size(), 1U);
  EXPECT_FALSE(this->hooks.accepts_peer_records(6)) << "a read is in progress";
  EXPECT_EQ(this->source.reads.size(), 1U);
  this->Answer(0, 6);
  EXPECT_EQ(this->hooks.local_revision(), 6);
  EXPECT_FALSE(this->hooks.accepts_peer_records(7));
  EXPECT_EQ(this->source.reads.size(), 2U);
}

TEST_F(FollowingKeeperTest, QueriesPeersOnceSourceLagsForHalfASecond) {
  const SteadyTime start = SteadyClock::now();
  EXPECT_FALSE(this->hooks.accepts_peer_records(5));
  bool accepted = false;
  const auto poll = this->timers.Every(std::chrono::milliseconds(5), [&] {
    accepted = accepted || this->hooks.accepts_peer_records(5);
    if (accepted) this->loop.stop();
  });
  this->loop.run_for(kLimit);
  EXPECT_TRUE(accepted);
  EXPECT_GE(SteadyClock::now() - start, kSourceWaitLimit);
  EXPECT_LT(SteadyClock::now() - start, kLimit);
  const std::string transfer = EncodeTransfer({0, 5, {}});
  EXPECT_TRUE(this->hooks.apply_transfer(transfer));
  EXPECT_EQ(this->hooks.local_revision(), 5);
  EXPECT_FALSE(this->hooks.accepts_peer_records(6)) << "the wait starts anew for another revision";
}

TEST(DelegatedKeeperTest, TakesUpdatesFromPeersIfOnlyDelegatesFollowSource) {
  asio::io_context loop;
  TimerService timers(loop);
  HeldSource source;
  RecordKeeper keeper(timers, &source, false);
  EXPECT_FALSE(keeper.Hooks().accepts_peer_records);
}

}  // namespace
}  // namespace fireflyrun::node
