#include <gtest/gtest.h>

#include <csignal>
#include <future>
#include <nlohmann/json.hpp>

#include "tests/integration/fleet.h"
#include "tests/integration/wait_until.h"

namespace fireflyrun::integration {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kLimit{10};
/// Long enough for a call that arrived to run.
constexpr milliseconds kRunTime{500};
/// One way; a round trip stays below the time after which a link counts as silent.
constexpr milliseconds kLinkDelay{250};
constexpr const char* kShortDeadline = "Firefly-Deadline-Ms: 150";

/// An entry, and a target on a node of its own; the link between them is open.
class ExpiredCallTest : public ::testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(this->fleet.WaitReady());
    ASSERT_EQ(this->fleet.Call("a0", "GET", "/deep/first").status, 200);
    this->runs_before = this->Runs();
  }

  int Runs() const { return json::parse(this->fleet.Runs("a1"))["runs"].get<int>(); }

  /// Calls with a short deadline, which passes before the target's node can take the call.
  HttpAnswer CallInVain() { return this->fleet.Call("a0", "GET", "/deep/late", {kShortDeadline}); }

  void ExpectArrivalAndNoRun() const {
    const std::string counter = "\nfireflyrun_link_calls_expired_total 1\n";
    EXPECT_TRUE(WaitUntil(kLimit, [&] {
      return Get(this->fleet.AdminUrl("a1") + "/metrics").body.find(counter) != std::string::npos;
    }));
    EXPECT_TRUE(HoldsFor(kRunTime, [this] { return this->Runs() == this->runs_before; }));
  }

  void ExpectServingAgain() {
    EXPECT_TRUE(WaitUntil(
        kLimit, [this] { return this->fleet.Call("a0", "GET", "/deep/next").status == 200; }));
  }

  Fleet fleet{{{"a0", "east", "east-a", "", 0, 0, ""}, {"a1", "east", "east-a", "deep", 5, 2, ""}},
              ChainRecords(),
              FleetOptions{.network = true}};
  int runs_before = 0;
};

TEST_F(ExpiredCallTest, CallHeldUpOnItsLinkPastItsDeadlineNeverRuns) {
  this->fleet.Network().Delay({"a1"}, kLinkDelay);
  EXPECT_EQ(this->CallInVain().status, 504);
  this->ExpectArrivalAndNoRun();
  this->fleet.Network().Heal();
  this->ExpectServingAgain();
}

TEST_F(ExpiredCallTest, CallUnreadByItsTargetsNodePastItsDeadlineNeverRuns) {
  this->fleet.NodeProcess("a1").Pause();
  EXPECT_EQ(this->CallInVain().status, 504);
  this->fleet.NodeProcess("a1").Resume();
  this->ExpectArrivalAndNoRun();
  this->ExpectServingAgain();
}

TEST_F(ExpiredCallTest, RequestUnreadByItsEntryPastItsDeadlineNeverRuns) {
  this->fleet.NodeProcess("a0").Pause();
  auto call = std::async(std::launch::async, [this] { return this->CallInVain(); });
  EXPECT_TRUE(HoldsFor(kRunTime, [this] { return this->Runs() == this->runs_before; }));
  this->fleet.NodeProcess("a0").Resume();
  EXPECT_EQ(call.get().status, 504);
  EXPECT_EQ(this->Runs(), this->runs_before);
  this->ExpectServingAgain();
}

}  // namespace
}  // namespace fireflyrun::integration
