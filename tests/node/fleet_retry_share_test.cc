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

/// Three nodes that see each other, each with a share of either bound.
class FleetShareTest : public testing::Test {
 protected:
  struct Shares {
    Shares(TestNode& node, bool met_fleet)
        : one_holder(*node.membership, kOneHolder, [met_fleet] { return met_fleet; }),
          many_holders(*node.membership, kManyHolders, [met_fleet] { return met_fleet; }) {}

    FleetRetryShare one_holder;
    FleetRetryShare many_holders;
  };

  FleetShareTest() {
    // A stall of a busy machine is no silence of a node.
    this->fleet.options.ack_timeout = std::chrono::milliseconds(200);
    this->fleet.options.suspicion_time = std::chrono::milliseconds(500);
    this->fleet.StartZones({"east-a"}, 3);
    EXPECT_TRUE(this->fleet.RunUntilConverged());
    for (const auto& [name, node] : this->fleet.Nodes()) {
      this->shares[name] = std::make_unique<Shares>(*node, true);
      this->doubtful[name] = std::make_unique<Shares>(*node, false);
    }
  }

  /// Asks every share each time: one that is not asked does not notice how long it has been first.
  bool RunUntilAllHoldOfMany() {
    return this->fleet.RunUntil([this] {
      std::size_t holders = 0;
      for (const auto& [name, own] : this->shares) {
        this->doubtful[name]->many_holders.HoldsFreeRetry();
        own->one_holder.HoldsFreeRetry();
        if (own->many_holders.HoldsFreeRetry()) ++holders;
      }
      return holders == this->shares.size();
    });
  }

  TestFleet fleet;
  std::map<std::string, std::unique_ptr<Shares>> shares;
  std::map<std::string, std::unique_ptr<Shares>> doubtful;  ///< Of nodes that haven't met all.
};

TEST_F(FleetShareTest, TheFirstOfTheOrderHoldWhileTheyReachMoreThanHalf) {
  const SteadyTime start = SteadyClock::now();
  ASSERT_TRUE(this->RunUntilAllHoldOfMany());
  EXPECT_GE(SteadyClock::now() - start, policy::FreeRetryEligibility::kPropagationTime);
  std::string holder;
  for (const auto& [name, own] : this->shares) {
    EXPECT_FALSE(this->doubtful[name]->many_holders.HoldsFreeRetry()) << name;
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
