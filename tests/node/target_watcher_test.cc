#include "node/target_watcher.h"

#include <gtest/gtest.h>

#include <asio/io_context.hpp>

#include "common/timer_service.h"
#include "http/target_client.h"
#include "membership/membership.h"
#include "node/context_table.h"
#include "node/node_settings.h"
#include "node/target_service.h"

namespace fireflyrun::node {
namespace {

using membership::TargetState;

class TargetWatcherTest : public ::testing::Test {
 protected:
  static membership::MembershipOptions FleetOptions() {
    membership::MembershipOptions options;
    options.cluster = "test";
    options.self.node = "n1";
    options.self.incarnation = 1;
    options.self.zone = "east-a";
    options.self.region = "east";
    options.self.ip = "127.0.0.1";
    return options;
  }

  static TargetAnnouncement Announcement(const std::string& address, TargetState state) {
    TargetAnnouncement announcement;
    announcement.target = {"calendar", address, 10, {}, {}};
    announcement.state = state;
    return announcement;
  }

  TargetState State() const { return this->fleet.GetView().Self().target_state; }

  asio::io_context loop;
  TimerService timers{loop};
  http::TargetClient client{timers, {}};
  ContextTable contexts;
  TargetService target{timers, client, contexts, {"n1", 1, 1024, false, {}}, {}};
  membership::Membership fleet{
      timers, FleetOptions(), [](const std::string&, const std::string&) {}, {}};
  NodeSettings settings;
  TargetWatcher watcher{timers, fleet, target, settings};
};

TEST_F(TargetWatcherTest, LeavingTargetTakesNoNewCalls) {
  this->watcher.OnAnnouncement(Announcement("127.0.0.1:8001", TargetState::kServing));
  EXPECT_EQ(this->State(), TargetState::kServing);
  this->watcher.OnAnnouncement(Announcement("127.0.0.1:8001", TargetState::kLeaving));
  EXPECT_EQ(this->State(), TargetState::kLeaving);
}

TEST_F(TargetWatcherTest, LastWordsOfAReplacedTargetDoNotWithdrawTheNewOne) {
  this->watcher.OnAnnouncement(Announcement("127.0.0.1:8001", TargetState::kLeaving));
  this->watcher.OnAnnouncement(Announcement("127.0.0.1:8002", TargetState::kServing));
  this->watcher.OnAnnouncement(Announcement("127.0.0.1:8001", TargetState::kLeaving));
  EXPECT_EQ(this->State(), TargetState::kServing);
  EXPECT_EQ(this->target.Target()->address, "127.0.0.1:8002");
}

TEST_F(TargetWatcherTest, NothingServesAgainOnceTheNodeStops) {
  this->watcher.OnAnnouncement(Announcement("127.0.0.1:8001", TargetState::kServing));
  this->watcher.LeaveForGood();
  this->watcher.OnAnnouncement(Announcement("127.0.0.1:8001", TargetState::kServing));
  EXPECT_EQ(this->State(), TargetState::kLeaving);
}

}  // namespace
}  // namespace fireflyrun::node
