#include "tests/integration/fault_network.h"

#include <gtest/gtest.h>

#include "tests/integration/fleet.h"
#include "tests/integration/wait_until.h"

namespace fireflyrun::integration {
namespace {

using std::chrono::seconds;

constexpr seconds kLimit{20};

class FaultNetworkTest : public ::testing::Test {
 protected:
  static void SetUpTestSuite() {
    fleet = std::make_unique<Fleet>(
        std::vector<HostLayout>{{"a1", "east", "east-a", "", 0, 0, ""},
                                {"b1", "east", "east-b", "deep", 20, 2, ""},
                                {"b2", "east", "east-b", "filings", 20, 2, ""}},
        ChainRecords(), FleetOptions{.network = true});
    ASSERT_TRUE(fleet->WaitReady());
  }
  static void TearDownTestSuite() { fleet.reset(); }

  static int Status() {
    return fleet->Call("a1", "GET", "/deep/x", {"Firefly-Deadline-Ms: 500"}).status;
  }

  static std::unique_ptr<Fleet> fleet;
};

std::unique_ptr<Fleet> FaultNetworkTest::fleet;

TEST_F(FaultNetworkTest, CallsPassThroughTheNetworkUntilItIsCutAndAgainAfterwards) {
  EXPECT_EQ(Status(), 200);
  fleet->Network().CutBetween({"east-a"}, {"b1"});
  EXPECT_NE(Status(), 200);
  fleet->Network().Heal();
  EXPECT_TRUE(WaitUntil(kLimit, [] { return Status() == 200; }));
}

TEST_F(FaultNetworkTest, OneWayCutStopsCalls) {
  fleet->Network().CutOneWay({"b1"}, {"a1"});
  EXPECT_NE(Status(), 200);
  fleet->Network().Heal();
  EXPECT_TRUE(WaitUntil(kLimit, [] { return Status() == 200; }));
}

TEST_F(FaultNetworkTest, CutOfTheStoreLeavesCallsAlone) {
  const auto keyed_call = [] {
    return fleet->Call("a1", "POST", "/filings/x", {"Idempotency-Key: k"});
  };
  fleet->Network().CutStore({"a1"});
  EXPECT_EQ(Status(), 200);
  EXPECT_EQ(keyed_call().status, 503);
  fleet->Network().Heal();
  EXPECT_TRUE(WaitUntil(kLimit, [&] { return keyed_call().status == 200; }));
}

}  // namespace
}  // namespace fireflyrun::integration
