#include "node/control_plane.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "common/timer_service.h"
#include "http/client.h"
#include "membership/membership.h"
#include "store/store.h"

namespace fireflyrun::node {
namespace {

constexpr Duration kLimit = std::chrono::seconds(10);

/// Holds queries for the whole roster until the test answers; answers no other request.
class RosterStore : public store::Store {
 public:
  static constexpr const char* kRoster = "/fireflyrun/test/roster/";

  void List(std::string prefix, Handler<store::Listing> handler) override {
    if (prefix == kRoster) this->queries.push_back(std::move(handler));
  }
  void Commit(store::Transaction, Handler<store::TransactionResult>) override {}
  void GrantLease(std::chrono::seconds, Handler<store::LeaseId>) override {}
  void KeepLeaseAlive(store::LeaseId, Handler<std::chrono::seconds>) override {}
  void RevokeLease(store::LeaseId, Handler<store::LeaseId>) override {}
  WatchId Watch(std::string, store::Revision, std::function<void(store::ChangeBatch)>,
                std::function<void(store::StoreError)>) override {
    return 1;
  }
  void CancelWatch(WatchId) override {}

  /// Answers the oldest query with these entries.
  void Answer(std::vector<store::KeyValue> entries) {
    const auto handler = std::move(this->queries.at(0));
    this->queries.erase(this->queries.begin());
    handler(store::Listing{std::move(entries), 1});
  }

  std::vector<Handler<store::Listing>> queries;
};

class ControlPlaneTest : public testing::Test {
 protected:
  ControlPlaneTest() {
    const int id = getpid();
    this->settings.cluster = "test";
    this->settings.node = "a1";
    this->settings.region = "east";
    this->settings.zone = "east-a";
    this->settings.address =
        "127.99." + std::to_string(id / 250 % 250) + "." + std::to_string(1 + id % 250);
    this->other = this->settings;
    this->other.node = "a2";
    this->other.control_port = this->settings.control_port + 1;
  }

  std::unique_ptr<ControlPlane> Start(const NodeSettings& own) {
    PlatformAdapter platform;
    platform.make_store = [this](auto&, auto&, auto&) {
      auto made = std::make_unique<RosterStore>();
      this->store = made.get();
      return made;
    };
    auto plane = std::make_unique<ControlPlane>(this->timers, this->client, own, 1, platform);
    EXPECT_FALSE(plane->HasDiscoveredAllMembers());
    EXPECT_TRUE(plane->AsComponent([] { return 1U; }).start());
    return plane;
  }

  bool RunUntil(const std::function<bool()>& condition) {
    const SteadyTime end = SteadyClock::now() + kLimit;
    while (!condition() && SteadyClock::now() < end) this->loop.run_one_until(end);
    return condition();
  }

  static std::string ControlAddress(const NodeSettings& own) {
    return own.address + ":" + std::to_string(own.control_port);
  }

  static store::KeyValue RosterEntry(const NodeSettings& own) {
    return {RosterStore::kRoster + own.zone + "/" + own.node,
            R"({"node": ")" + own.node + R"(", "control_address": ")" + ControlAddress(own) +
                R"(", "admin_address": "127.0.0.1:1"})",
            1};
  }

  asio::io_context loop;
  TimerService timers{loop};
  http::Client client{loop, 1};
  NodeSettings settings;
  NodeSettings other;
  RosterStore* store = nullptr;  ///< Store of the control plane created last.
};

TEST_F(ControlPlaneTest, WithoutRosterDiscoversAllMembersOnceSeedAnswersOrNoneExists) {
  const auto alone = this->Start(this->settings);
  EXPECT_TRUE(alone->HasDiscoveredAllMembers());
  this->other.seeds = {ControlAddress(this->settings)};
  const auto joining = this->Start(this->other);
  EXPECT_FALSE(joining->HasDiscoveredAllMembers());
  EXPECT_FALSE(joining->HasDiscoveredFleet());
  EXPECT_TRUE(this->RunUntil(
      [&] { return joining->HasDiscoveredAllMembers() && joining->HasDiscoveredFleet(); }));
}

TEST_F(ControlPlaneTest, RosterWithoutOtherNodesCompletesDiscoveryOnceRead) {
  this->settings.store_endpoints = {"127.0.0.1:1"};
  const auto plane = this->Start(this->settings);
  EXPECT_FALSE(plane->HasDiscoveredAllMembers()) << "the roster is not read yet";
  this->store->Answer({RosterEntry(this->settings)});
  EXPECT_TRUE(plane->HasDiscoveredAllMembers());
}

/// As when all nodes start at once: the roster names the others only after the first reading.
TEST_F(ControlPlaneTest, StaysDiscoveredWhenTheRosterNamesAnotherNodeLater) {
  this->settings.store_endpoints = {"127.0.0.1:1"};
  const auto plane = this->Start(this->settings);
  this->store->Answer({RosterEntry(this->settings)});
  ASSERT_TRUE(plane->HasDiscoveredFleet());
  ASSERT_TRUE(this->RunUntil([&] { return !this->store->queries.empty(); }));
  this->store->Answer({RosterEntry(this->settings), RosterEntry(this->other)});
  EXPECT_TRUE(plane->HasDiscoveredFleet()) << "a node that is ready doesn't take that back";
  EXPECT_FALSE(plane->HasDiscoveredAllMembers());
}

TEST_F(ControlPlaneTest, DiscoversAllMembersOnceAllRosterNodesAreMembers) {
  const auto plain = this->Start(this->other);
  this->settings.store_endpoints = {"127.0.0.1:1"};
  NodeSettings absent = this->settings;
  absent.node = "a3";
  absent.control_port = this->settings.control_port + 2;
  const auto plane = this->Start(this->settings);
  this->store->Answer({RosterEntry(this->other), RosterEntry(absent)});
  ASSERT_TRUE(this->RunUntil([&] { return plane->Fleet().HasJoined(); }));
  EXPECT_TRUE(plane->HasDiscoveredFleet());
  EXPECT_FALSE(plane->HasDiscoveredAllMembers()) << "a3 was not discovered";
  absent.seeds = {ControlAddress(this->other)};
  absent.store_endpoints = {};
  const auto late = this->Start(absent);
  EXPECT_TRUE(this->RunUntil([&] { return plane->HasDiscoveredAllMembers(); }));
}

}  // namespace
}  // namespace fireflyrun::node
