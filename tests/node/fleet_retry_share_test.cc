#include "node/fleet_retry_share.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <map>
#include <memory>
#include <string>

#include "membership/membership.h"
#include "tests/membership/test_fleet.h"

namespace fireflyrun::node {
namespace {

using membership::TestFleet;
using membership::TestNode;

constexpr Duration kWindow = std::chrono::milliseconds(1);
constexpr policy::FleetRetryBound kOneHolder{kWindow, 0, 2, 1};
constexpr policy::FleetRetryBound kManyHolders{kWindow, 0, 9, 1};

/// Three nodes that discover each other, each with a share of both bounds.
class FleetRetryShareTest : public testing::Test {
 protected:
  struct Shares {
    Shares(TestNode& node, bool has_discovered_all_members)
        : one_holder(*node.membership, kOneHolder,
                     [has_discovered_all_members] { return has_discovered_all_members; }),
          many_holders(*node.membership, kManyHolders,
                       [has_discovered_all_members] { return has_discovered_all_members; }) {}

    FleetRetryShare one_holder;
    FleetRetryShare many_holders;
  };

  FleetRetryShareTest() {
    // Long timeouts, so that a stall of a busy machine doesn't make a node unreachable.
    this->fleet.options.ack_timeout = std::chrono::milliseconds(200);
    this->fleet.options.suspicion_time = std::chrono::milliseconds(500);
    this->fleet.StartZones({"east-a"}, 3);
    EXPECT_TRUE(this->fleet.RunUntilConverged());
    for (const auto& [name, node] : this->fleet.Nodes()) {
      this->shares[name] = std::make_unique<Shares>(*node, true);
      this->partial_shares[name] = std::make_unique<Shares>(*node, false);
    }
  }

  /// Queries every share each time: a share measures how long it has been first only when queried.
  bool RunUntilAllHoldOfMany() {
    return this->fleet.RunUntil([this] {
      std::size_t holders = 0;
      for (const auto& [name, own] : this->shares) {
        this->partial_shares[name]->many_holders.HoldsFreeRetry();
        own->one_holder.HoldsFreeRetry();
        if (own->many_holders.HoldsFreeRetry()) ++holders;
      }
      return holders == this->shares.size();
    });
  }

  TestFleet fleet;
  std::map<std::string, std::unique_ptr<Shares>> shares;
  std::map<std::string, std::unique_ptr<Shares>> partial_shares;  ///< With undiscovered members.
};

TEST_F(FleetRetryShareTest, FirstMembersHoldFreeRetryWhileMajorityIsReachable) {
  const SteadyTime start = SteadyClock::now();
  ASSERT_TRUE(this->RunUntilAllHoldOfMany());
  EXPECT_GE(SteadyClock::now() - start, policy::FreeRetryEligibility::kPropagationTime);
  std::string holder;
  for (const auto& [name, own] : this->shares) {
    EXPECT_FALSE(this->partial_shares[name]->many_holders.HoldsFreeRetry()) << name;
    if (!own->one_holder.HoldsFreeRetry()) continue;
    EXPECT_EQ(holder, "") << "held by " << name << " too";
    holder = name;
  }
  ASSERT_NE(holder, "");
  this->fleet.is_cut = [&](const TestNode& from, const TestNode& to) {
    return (from.self.node == holder) != (to.self.node == holder);
  };
  EXPECT_TRUE(
      this->fleet.RunUntil([&] { return !this->shares[holder]->one_holder.HoldsFreeRetry(); }));
  for (const auto& [name, own] : this->shares) {
    EXPECT_EQ(own->many_holders.HoldsFreeRetry(), name != holder) << name;
  }
}

}  // namespace
}  // namespace fireflyrun::node
