#include <gtest/gtest.h>

#include <functional>
#include <future>
#include <nlohmann/json.hpp>

#include "tests/integration/fleet.h"
#include "tests/integration/wait_until.h"

namespace fireflyrun::integration {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;

constexpr seconds kLimit{10};
/// Far below that of the service which the child calls.
constexpr milliseconds kParentDeadline{1500};
constexpr milliseconds kChildDeadline{8000};
const std::vector<std::string> kIdFlags = {"--request-id-header", "X-Request-Id",
                                           "--child-separator", "."};

json Service(const std::string& name, const std::string& priority) {
  return {{"kind", "service"},
          {"schema", 1},
          {"name", name},
          {"priority", priority},
          {"retry_allowance", "none"},
          {"deadline_ms", kChildDeadline.count()},
          {"idempotent", true}};
}

json Priority(const std::string& name, int rank) {
  return {{"kind", "priority"},
          {"schema", 1},
          {"name", name},
          {"rank", rank},
          {"may_leave_region", false}};
}

std::string Records(const std::string& desk = "critical", const std::string& leaf = "status") {
  const json allowance = {{"kind", "retry_allowance"}, {"schema", 1}, {"name", "none"},
                          {"retries_per_request", 0},  {"burst", 0},  {"success_ratio", 0}};
  return json::array({Priority("critical", 0), Priority("status", 9), allowance,
                      Service("desk", desk), Service("leaf", leaf)})
      .dump();
}

HttpAnswer CallAs(Fleet& fleet, const std::string& id, const std::string& path,
                  std::vector<std::string> headers = {}) {
  headers.push_back("X-Request-Id: " + id);
  return fleet.Call("a1", "GET", path, headers);
}

/// The node's line of how the request ended; empty if none comes.
std::string EndLine(Fleet& fleet, const std::string& id) {
  std::string line;
  WaitUntil(kLimit, [&] {
    const std::string log = fleet.NodeProcess("a1").Output();
    for (const std::string event : {"answered", "failed", "refused", "cancelled"}) {
      std::string start = "part=caller event=";
      start.append(event).append(" request=").append(id).append(" ");
      const auto at = log.find(start);
      if (at != std::string::npos) line = log.substr(at, log.find('\n', at) - at);
    }
    return !line.empty();
  });
  return line;
}

TEST(ChildCallsTest, CallsAreToldByTheRequestIdsOfWhatTheTargetRuns) {
  Fleet fleet({{"a1", "east", "east-a", "desk", 20, 2, "", kIdFlags, {}},
               {"a2", "east", "east-a", "leaf", 20, 2, "", kIdFlags, {}}},
              Records());
  ASSERT_TRUE(fleet.WaitReady());
  fleet.SetTargetFault("a1", R"({"hang": true})");
  const auto begun = Clock::now();
  auto parent = std::async(std::launch::async, [&] {
    return CallAs(fleet, "abc", "/desk/x",
                  {"Firefly-Deadline-Ms: " + std::to_string(kParentDeadline.count())});
  });
  ASSERT_TRUE(WaitUntil(kLimit, [&] { return json::parse(fleet.Runs("a1"))["list"].size() == 1; }));

  EXPECT_EQ(CallAs(fleet, "zzz.x", "/leaf/x").status, 200);
  EXPECT_NE(EndLine(fleet, "zzz.x").find(" class=status "), std::string::npos);
  EXPECT_EQ(CallAs(fleet, "abc.y", "/leaf/x").status, 200);
  EXPECT_NE(EndLine(fleet, "abc.y").find(" class=critical "), std::string::npos);

  fleet.SetTargetFault("a2", R"({"hang": true})");
  const auto expired = CallAs(fleet, "abc.x", "/leaf/x");
  EXPECT_EQ(expired.status, 504) << expired.body;
  EXPECT_EQ(expired.Header("firefly-outcome"), "unknown");
  EXPECT_LT(Clock::now() - begun, kChildDeadline / 2);
  EXPECT_NE(EndLine(fleet, "abc.x").find(" cause=deadline "), std::string::npos)
      << EndLine(fleet, "abc.x");
  EXPECT_NE(EndLine(fleet, "abc.x").find(" class=critical "), std::string::npos)
      << EndLine(fleet, "abc.x");
  EXPECT_GE(parent.get().status, 500);

  // The parent has ended, so that its id tells nothing any more.
  fleet.SetTargetFault("a2", R"({"hang": false})");
  EXPECT_EQ(CallAs(fleet, "abc.z", "/leaf/x").status, 200);
  EXPECT_NE(EndLine(fleet, "abc.z").find(" class=status "), std::string::npos);
}

/// What is made for a request that is shed first is shed with it.
TEST(ChildCallsTest, ACallIsNoMoreUrgentThanTheRequestThatItIsMadeFor) {
  Fleet fleet({{"a1", "east", "east-a", "desk", 20, 2, "", kIdFlags, {}},
               {"a2", "east", "east-a", "leaf", 20, 2, "", kIdFlags, {}}},
              Records("status", "critical"));
  ASSERT_TRUE(fleet.WaitReady());
  fleet.SetTargetFault("a1", R"({"hang": true})");
  auto parent = std::async(std::launch::async, [&] {
    return CallAs(fleet, "abc", "/desk/x",
                  {"Firefly-Deadline-Ms: " + std::to_string(kParentDeadline.count())});
  });
  ASSERT_TRUE(WaitUntil(kLimit, [&] { return json::parse(fleet.Runs("a1"))["list"].size() == 1; }));
  EXPECT_EQ(CallAs(fleet, "abc.y", "/leaf/x").status, 200);
  EXPECT_NE(EndLine(fleet, "abc.y").find(" class=status "), std::string::npos);
  EXPECT_EQ(CallAs(fleet, "zzz.y", "/leaf/x").status, 200);
  EXPECT_NE(EndLine(fleet, "zzz.y").find(" class=critical "), std::string::npos);
  EXPECT_GE(parent.get().status, 500);
}

class EndedParentTest : public ::testing::Test {
 protected:
  EndedParentTest()
      : fleet({{"a1", "east", "east-a", "desk", 20, 2, "", kIdFlags, {}},
               {"a2", "east", "east-a", "leaf", 20, 2, "", kIdFlags, {}}},
              Records()) {}

  void SetUp() override {
    ASSERT_TRUE(this->fleet.WaitReady());
    this->fleet.SetTargetFault("a2", R"({"hang": true})");
  }

  bool RunsOn(const std::string& node) {
    return WaitUntil(kLimit, [&] { return json::parse(this->fleet.Runs(node))["runs"] == 1; });
  }
  /// What the caller of a child that waits hears, once `end_parent` has ended its parent.
  void ExpectChildEnds(const std::string& cause, const std::function<void()>& end_parent) {
    ASSERT_TRUE(this->RunsOn("a1"));
    const auto begun = Clock::now();
    auto child =
        std::async(std::launch::async, [this] { return CallAs(this->fleet, "abc.x", "/leaf/x"); });
    ASSERT_TRUE(this->RunsOn("a2"));
    end_parent();
    const auto answer = child.get();
    EXPECT_EQ(answer.status, 502) << answer.body;
    EXPECT_EQ(answer.Header("firefly-outcome"), "unknown");
    EXPECT_LT(Clock::now() - begun, kChildDeadline / 2);
    const std::string line = EndLine(this->fleet, "abc.x");
    EXPECT_NE(line.find("event=cancelled "), std::string::npos) << line;
    EXPECT_NE(line.find(" cause=" + cause + " "), std::string::npos) << line;
  }

  Fleet fleet;
};

TEST_F(EndedParentTest, ChildWhoseParentIsAnsweredIsToldSo) {
  this->fleet.SetTargetFault("a1", R"({"slow_factor": 500})");
  auto parent =
      std::async(std::launch::async, [this] { return CallAs(this->fleet, "abc", "/desk/x"); });
  this->ExpectChildEnds("parent-ended", [&] { EXPECT_EQ(parent.get().status, 200); });
}

TEST_F(EndedParentTest, ChildWhoseParentsCallerLeavesIsToldSo) {
  this->fleet.SetTargetFault("a1", R"({"hang": true})");
  HttpCall call;
  call.url = this->fleet.CallerUrl("a1") + "/desk/x";
  call.headers = {"X-Request-Id: abc"};
  call.timeout = kParentDeadline;
  auto parent = std::async(std::launch::async, [&] { return MakeCall(call); });
  this->ExpectChildEnds("parent-cancelled", [&] { EXPECT_EQ(parent.get().status, 0); });
}

}  // namespace
}  // namespace fireflyrun::integration
