#include <gtest/gtest.h>

#include <future>
#include <nlohmann/json.hpp>

#include "tests/integration/fleet.h"
#include "tests/integration/wait_until.h"

namespace fireflyrun::integration {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Far below the deadline of the calls, so that nothing ends for having expired.
constexpr seconds kLimit{10};
constexpr milliseconds kPatience{500};
constexpr milliseconds kSlowCall{1000};
constexpr int kExpiringCalls = 5;

std::string Records() {
  std::string text = ChainRecords();
  const std::string from = "\"deadline_ms\": 4000";
  for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at)) {
    text.replace(at, from.size(), "\"deadline_ms\": 60000");
  }
  return text;
}

class CancellationTest : public ::testing::Test {
 protected:
  CancellationTest()
      : fleet({{"a0", "east", "east-a", "", 0, 0, ""},
               {"a1", "east", "east-a", "entry", 5, 2, "middle:/part"},
               {"a2", "east", "east-a", "middle", 5, 2, "deep:/leaf"},
               {"b1", "east", "east-b", "deep", 1, 2, ""}},
              Records()) {}

  void SetUp() override { ASSERT_TRUE(this->fleet.WaitReady()); }

  int Count(const std::string& node, const char* counter) const {
    return json::parse(this->fleet.Runs(node))[counter].get<int>();
  }
  /// A caller that hangs up after `kPatience`.
  void CallAndLeave(const std::string& path) const {
    HttpCall call;
    call.url = this->fleet.CallerUrl("a0") + path;
    call.timeout = kPatience;
    EXPECT_EQ(MakeCall(call).status, 0);
  }

  Fleet fleet;
};

TEST_F(CancellationTest, CallerThatLeavesEndsWhatRunsBelow) {
  this->fleet.SetTargetFault("b1", R"({"hang": true})");
  this->CallAndLeave("/entry/x");
  EXPECT_EQ(this->Count("b1", "runs"), 1);
  EXPECT_TRUE(WaitUntil(kLimit, [&] { return this->Count("b1", "cancelled") == 1; }));
  // A target above may also have seen its own call end first, and ended so.
  for (const char* node : {"a1", "a2"}) {
    EXPECT_TRUE(WaitUntil(kLimit, [&] {
      return this->Count(node, "cancelled") + this->Count(node, "completed") == 1;
    })) << node;
  }
}

TEST_F(CancellationTest, NothingIsCalledBelowForACallerThatHasLeft) {
  this->fleet.SetTargetFault("a2", R"({"slow_factor": 500})");
  this->CallAndLeave("/entry/x");
  EXPECT_TRUE(WaitUntil(kLimit, [&] { return this->Count("a2", "cancelled") == 1; }));
  EXPECT_TRUE(HoldsFor(2 * kSlowCall, [&] { return this->Count("b1", "runs") == 0; }));
}

TEST_F(CancellationTest, WorkThatExpiredInAQueueNeverStarts) {
  this->fleet.SetTargetFault("b1", R"({"slow_factor": 500})");
  auto first =
      std::async(std::launch::async, [this] { return this->fleet.Call("a0", "GET", "/deep/x"); });
  ASSERT_TRUE(WaitUntil(kLimit, [&] { return this->Count("b1", "runs") == 1; }));
  std::vector<std::future<HttpAnswer>> expiring;
  expiring.reserve(kExpiringCalls);
  for (int i = 0; i < kExpiringCalls; ++i) {
    expiring.push_back(std::async(std::launch::async, [this] {
      return this->fleet.Call("a0", "GET", "/deep/x", {"Firefly-Deadline-Ms: 200"});
    }));
  }
  for (auto& call : expiring) {
    const auto answer = call.get();
    // Whether the refusal of the queue or the caller's own deadline comes first is left open.
    EXPECT_NE(answer.Header("firefly-outcome"), "ran");
    EXPECT_EQ(answer.status, 504) << answer.body;
  }
  EXPECT_EQ(first.get().status, 200);
  EXPECT_EQ(this->fleet.Call("a0", "GET", "/deep/x").status, 200);
  EXPECT_EQ(this->Count("b1", "runs"), 2);
  EXPECT_EQ(this->Count("b1", "left_queue"), 0);
}

}  // namespace
}  // namespace fireflyrun::integration
