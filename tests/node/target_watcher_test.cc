#include "node/target_watcher.h"

#include <gtest/gtest.h>

#include <asio/io_context.hpp>
#include <thread>

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

  /// A complete announcement of a run of this host's target.
  static TargetAnnouncement RunAnnouncement(const std::string& id, std::uint64_t born,
                                            std::uint64_t seq,
                                            TargetState state = TargetState::kServing) {
    TargetAnnouncement announcement = Announcement("127.0.0.1:8001", state);
    announcement.target.id = id;
    announcement.born = born;
    announcement.seq = seq;
    announcement.has_state_and_seq = true;
    return announcement;
  }

  TargetWatcher::Hooks MakeHooks() {
    TargetWatcher::Hooks hooks;
    hooks.probe = [this](const std::string&, const std::string&,
                         TargetWatcher::Hooks::ProbeHandler handler) {
      this->probes.push_back(std::move(handler));
    };
    hooks.health_path = [](const std::string&) { return std::optional<std::string>("/healthz"); };
    hooks.slots_elsewhere = [this](const std::string&) { return this->slots_elsewhere; };
    return hooks;
  }

  /// Sets the settings of a host that name its target.
  void ConfigureTarget() {
    this->settings.target_service = "calendar";
    this->settings.target_address = "127.0.0.1:8001";
    this->settings.wire.expected_target = "Expect-Target";
    this->settings.wire.target_id = "Target-Id";
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
  std::vector<TargetWatcher::Hooks::ProbeHandler> probes;
  std::vector<std::uint32_t> slots_elsewhere;
  Duration boot_time = Duration::zero();
  TargetWatcher watcher{
      timers,
      fleet,
      target,
      settings,
      MakeHooks(),
      SuspensionDetector([this] { return this->boot_time; }, [] { return Duration::zero(); })};
};

TEST_F(TargetWatcherTest, LeavingTargetTakesNoNewCalls) {
  this->watcher.OnAnnouncement(Announcement("127.0.0.1:8001", TargetState::kServing));
  EXPECT_EQ(this->State(), TargetState::kServing);
  this->watcher.OnAnnouncement(Announcement("127.0.0.1:8001", TargetState::kLeaving));
  EXPECT_EQ(this->State(), TargetState::kLeaving);
}

TEST_F(TargetWatcherTest, LateDepartureOfReplacedTargetKeepsNewOneServing) {
  this->watcher.OnAnnouncement(Announcement("127.0.0.1:8001", TargetState::kLeaving));
  this->watcher.OnAnnouncement(Announcement("127.0.0.1:8002", TargetState::kServing));
  this->watcher.OnAnnouncement(Announcement("127.0.0.1:8001", TargetState::kLeaving));
  EXPECT_EQ(this->State(), TargetState::kServing);
  EXPECT_EQ(this->target.Target()->address, "127.0.0.1:8002");
}

TEST_F(TargetWatcherTest, IgnoresServingAnnouncementsOnceNodeStops) {
  this->watcher.OnAnnouncement(Announcement("127.0.0.1:8001", TargetState::kServing));
  this->watcher.LeavePermanently();
  this->watcher.OnAnnouncement(Announcement("127.0.0.1:8001", TargetState::kServing));
  EXPECT_EQ(this->State(), TargetState::kLeaving);
}

TEST_F(TargetWatcherTest, RejectsAnnouncementsThatAreNotOfThisHostsTarget) {
  this->ConfigureTarget();
  auto other_service = RunAnnouncement("i-1", 100, 1);
  other_service.target.service = "memorial";
  auto other_address = RunAnnouncement("i-1", 100, 1);
  other_address.target.address = "127.0.0.1:8002";
  auto incomplete = RunAnnouncement("i-1", 100, 1);
  incomplete.has_state_and_seq = false;
  for (const auto& announcement :
       {other_service, other_address, incomplete, RunAnnouncement("i 1", 100, 1)}) {
    EXPECT_FALSE(this->watcher.OnAnnouncement(announcement).empty());
  }
  EXPECT_EQ(this->State(), TargetState::kAbsent);
  EXPECT_TRUE(this->watcher.OnAnnouncement(RunAnnouncement("i-1", 100, 1)).empty());
  EXPECT_EQ(this->State(), TargetState::kServing);
}

TEST_F(TargetWatcherTest, IgnoresAnnouncementsOfEarlierRun) {
  this->ConfigureTarget();
  this->watcher.OnAnnouncement(RunAnnouncement("i-2", 200, 1));
  this->watcher.OnAnnouncement(RunAnnouncement("i-1", 100, 90));
  this->watcher.OnAnnouncement(RunAnnouncement("i-1", 100, 91, TargetState::kLeaving));
  EXPECT_EQ(this->target.Target()->id, "i-2");
  EXPECT_EQ(this->State(), TargetState::kServing);
}

TEST_F(TargetWatcherTest, DepartureAppliesToItsRunButNotToLaterOnesWithItsId) {
  this->ConfigureTarget();
  this->watcher.OnAnnouncement(RunAnnouncement("i-1", 100, 5));
  this->watcher.OnAnnouncement(RunAnnouncement("i-1", 100, 7, TargetState::kLeaving));
  this->watcher.OnAnnouncement(RunAnnouncement("i-1", 100, 8));
  EXPECT_EQ(this->State(), TargetState::kLeaving);
  this->watcher.OnAnnouncement(RunAnnouncement("i-1", 300, 1));
  EXPECT_EQ(this->State(), TargetState::kServing);
  this->watcher.OnDeparture("i-1", 100);
  EXPECT_EQ(this->State(), TargetState::kServing);
  this->watcher.OnDeparture("i-1", 300);
  EXPECT_EQ(this->State(), TargetState::kLeaving);
}

TEST_F(TargetWatcherTest, DepartureBeforeFirstAnnouncementOfItsRunHolds) {
  this->ConfigureTarget();
  this->watcher.OnDeparture("i-1", 0);
  this->watcher.OnAnnouncement(RunAnnouncement("i-1", 100, 1));
  EXPECT_EQ(this->State(), TargetState::kLeaving);
  this->watcher.OnAnnouncement(RunAnnouncement("i-1", 100, 2));
  EXPECT_EQ(this->State(), TargetState::kLeaving);
}

TEST_F(TargetWatcherTest, ProbeFindsTargetStartedBeforeNode) {
  this->ConfigureTarget();
  this->watcher.Check();
  this->watcher.Check();
  ASSERT_EQ(this->probes.size(), 1U);
  this->probes[0]({ProbeOutcome::kServing, "i-1"});
  EXPECT_EQ(this->State(), TargetState::kServing);
  EXPECT_EQ(this->target.Target()->id, "i-1");
  this->watcher.OnAnnouncement(RunAnnouncement("i-1", 100, 4));
  EXPECT_EQ(this->target.Target()->slots, 10U);
  this->watcher.Check();
  EXPECT_EQ(this->probes.size(), 1U);
}

TEST_F(TargetWatcherTest, AnnouncedColdTimeLimitsInitialSlots) {
  const std::vector<std::pair<std::optional<double>, std::uint32_t>> cases = {
      {100.0, 5U}, {0.0, 10U}, {std::nullopt, 1U}};
  for (const auto& [cold_seconds, limit] : cases) {
    auto announcement = Announcement("127.0.0.1:8001", TargetState::kServing);
    announcement.target.cold_seconds = cold_seconds;
    this->target.WithdrawTarget();
    this->watcher.OnAnnouncement(announcement);
    EXPECT_EQ(this->target.Admission().Limit(SteadyClock::now()), limit);
  }
}

TEST_F(TargetWatcherTest, TargetFoundByProbeIsWarm) {
  this->ConfigureTarget();
  this->watcher.Check();
  ASSERT_EQ(this->probes.size(), 1U);
  this->probes[0]({ProbeOutcome::kServing, "i-1"});
  const auto slots = this->target.Target()->slots;
  EXPECT_EQ(this->target.Admission().Limit(SteadyClock::now()), slots);
  this->watcher.OnAnnouncement(RunAnnouncement("i-1", 100, 4));
  EXPECT_EQ(this->target.Admission().Limit(SteadyClock::now()), 10U);
}

TEST_F(TargetWatcherTest, TargetFoundByProbeHasFewestSlotsOfItsService) {
  this->ConfigureTarget();
  this->slots_elsewhere = {8, 40, 25, 8};
  this->watcher.Check();
  ASSERT_EQ(this->probes.size(), 1U);
  this->probes[0]({ProbeOutcome::kServing, "i-1"});
  EXPECT_EQ(this->target.Target()->slots, 25U);
  EXPECT_EQ(this->fleet.GetView().Self().slots, 25U);
  this->slots_elsewhere = {40};
  this->watcher.Check();
  EXPECT_EQ(this->target.Admission().Limit(SteadyClock::now()), 40U);
  EXPECT_EQ(this->fleet.GetView().Self().slots, 40U);
  this->watcher.OnAnnouncement(RunAnnouncement("i-1", 100, 4));
  this->watcher.Check();
  EXPECT_EQ(this->target.Target()->slots, 10U);
}

/// The node was restarted after the run's departure, so it doesn't know of it; an announcement from
/// before the departure arrives late.
TEST_F(TargetWatcherTest, LateAnnouncementsOfARunFoundNotServingDoNotCount) {
  this->ConfigureTarget();
  this->watcher.Check();
  ASSERT_EQ(this->probes.size(), 1U);
  this->probes[0]({ProbeOutcome::kNotServing, "i-1"});
  EXPECT_EQ(this->State(), TargetState::kAbsent);
  EXPECT_TRUE(this->watcher.OnAnnouncement(RunAnnouncement("i-1", 100, 4)).empty());
  EXPECT_TRUE(this->watcher.OnAnnouncement(RunAnnouncement("i-1", 100, 5)).empty());
  EXPECT_EQ(this->State(), TargetState::kAbsent);
  this->watcher.OnAnnouncement(RunAnnouncement("i-1", 100, 6, TargetState::kLeaving));
  EXPECT_EQ(this->State(), TargetState::kLeaving);
}

TEST_F(TargetWatcherTest, WaitsForAnnouncementsOfTargetFoundNotServing) {
  this->ConfigureTarget();
  this->watcher.Check();
  ASSERT_EQ(this->probes.size(), 1U);
  this->probes[0]({ProbeOutcome::kNotServing, "i-1"});
  EXPECT_EQ(this->State(), TargetState::kAbsent);
  EXPECT_FALSE(this->loop.stopped());
  this->watcher.OnAnnouncement(RunAnnouncement("i-1", 100, 4));
  std::this_thread::sleep_for(std::chrono::milliseconds(1'050));
  this->watcher.OnAnnouncement(RunAnnouncement("i-1", 100, 4));
  EXPECT_EQ(this->State(), TargetState::kAbsent);
  this->watcher.OnAnnouncement(RunAnnouncement("i-1", 100, 5));
  EXPECT_EQ(this->State(), TargetState::kServing);
}

/// Another run at the address needs no such proof.
TEST_F(TargetWatcherTest, NextRunServesAtOnceAfterOneFoundNotServing) {
  this->ConfigureTarget();
  this->watcher.Check();
  ASSERT_EQ(this->probes.size(), 1U);
  this->probes[0]({ProbeOutcome::kNotServing, "i-1"});
  this->watcher.OnAnnouncement(RunAnnouncement("i-2", 200, 1));
  EXPECT_EQ(this->State(), TargetState::kServing);
}

TEST_F(TargetWatcherTest, WithdrawsSilentTargetOnlyIfProbeFails) {
  this->ConfigureTarget();
  this->settings.announcement_limit = Duration::zero();
  this->watcher.OnAnnouncement(RunAnnouncement("i-1", 100, 4));
  this->watcher.Check();
  ASSERT_EQ(this->probes.size(), 1U);
  this->probes[0]({ProbeOutcome::kBusy, ""});
  EXPECT_EQ(this->State(), TargetState::kServing);
  this->watcher.Check();
  ASSERT_EQ(this->probes.size(), 2U);
  this->probes[1]({ProbeOutcome::kNoAnswer, ""});
  EXPECT_EQ(this->State(), TargetState::kAbsent);
  this->watcher.OnAnnouncement(RunAnnouncement("i-1", 100, 5));
  EXPECT_EQ(this->State(), TargetState::kServing);
}

TEST_F(TargetWatcherTest, WithdrawsTargetThatRefusesConnectionsAtOnce) {
  this->ConfigureTarget();
  this->watcher.OnAnnouncement(RunAnnouncement("i-1", 100, 4));
  this->watcher.OnFailure();
  this->watcher.OnFailure();
  ASSERT_EQ(this->probes.size(), 1U);
  this->probes[0]({ProbeOutcome::kConnectionRefused, ""});
  EXPECT_EQ(this->State(), TargetState::kAbsent);
}

TEST_F(TargetWatcherTest, SuspensionWithdrawsTargetUntilProbeSucceeds) {
  this->ConfigureTarget();
  this->watcher.OnAnnouncement(RunAnnouncement("i-1", 100, 4));
  this->boot_time += std::chrono::seconds(4);
  this->watcher.Check();
  EXPECT_EQ(this->State(), TargetState::kAbsent);
  EXPECT_EQ(this->target.Target(), nullptr);
  ASSERT_EQ(this->probes.size(), 1U);
  this->probes[0]({ProbeOutcome::kServing, "i-1"});
  EXPECT_EQ(this->State(), TargetState::kServing);
  EXPECT_EQ(this->target.Target()->slots, 10U);
}

}  // namespace
}  // namespace fireflyrun::node
