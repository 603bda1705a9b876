#include <gtest/gtest.h>

#include <csignal>
#include <future>
#include <nlohmann/json.hpp>

#include "tests/integration/continuous_load.h"
#include "tests/integration/fleet.h"
#include "tests/integration/wait_until.h"

namespace fireflyrun::integration {
namespace {

using nlohmann::json;

/// A target that is leaving gets no new call after this time.
constexpr std::chrono::milliseconds kLeavingLimit{3'000};
constexpr std::chrono::milliseconds kExitLimit{30'000};

/// No retries: only what leaving itself promises keeps calls from failing.
std::string RecordsWithoutRetries() {
  return R"([
    {"kind": "priority", "schema": 1, "name": "status", "rank": 9, "may_leave_region": false},
    {"kind": "retry_allowance", "schema": 1, "name": "none", "retries_per_request": 0,
     "success_ratio": 0, "burst": 0},
    {"kind": "service", "schema": 1, "name": "slow", "priority": "status",
     "retry_allowance": "none", "deadline_ms": 20000, "idempotent": true},
    {"kind": "service", "schema": 1, "name": "quick", "priority": "status",
     "retry_allowance": "none", "deadline_ms": 20000, "idempotent": true},
    {"kind": "service", "schema": 1, "name": "orders", "priority": "status",
     "retry_allowance": "none", "deadline_ms": 20000, "idempotent": false}
  ])";
}

/// Two targets of `slow` take 2 s and then call `quick` downstream.
std::vector<HostLayout> SlowTargets() {
  return {{"s1", "east", "east-a", "slow", 20, 2000, "quick:/part"},
          {"s2", "east", "east-b", "slow", 20, 2000, "quick:/part"},
          {"q1", "east", "east-a", "quick", 20, 2, ""},
          {"q2", "east", "east-b", "quick", 20, 2, ""}};
}

std::vector<HostLayout> ReplaceableTargets() {
  return {{"e1", "east", "east-a", "", 0, 0, ""},
          {"e2", "east", "east-b", "", 0, 0, ""},
          {"q1", "east", "east-a", "quick", 20, 20, ""},
          {"q2", "east", "east-b", "quick", 20, 20, ""},
          {"o1", "east", "east-a", "orders", 20, 20, ""},
          {"o2", "east", "east-b", "orders", 20, 20, ""}};
}

int CountRuns(const Fleet& fleet, const std::string& node) {
  const json runs = json::parse(fleet.Runs(node), nullptr, false);
  return runs.is_object() ? runs.value("runs", 0) : 0;
}

ContinuousLoad::Options SlowLoad(const Fleet& fleet) {
  ContinuousLoad::Options options;
  for (const auto* entry : {"s2", "q1", "q2"}) {
    options.urls.push_back(fleet.CallerUrl(entry) + "/slow/work");
  }
  return options;
}

/// Every answer holds the downstream answer too.
void ExpectChildren(const ContinuousLoad& load) {
  for (const auto& result : load.Results()) {
    const json body = json::parse(result.answer.body, nullptr, false);
    EXPECT_TRUE(body.is_object() && body.contains("children") && body["children"].size() == 1)
        << result.Describe();
  }
}

/// Keeps a target's process busy past its leaving, by a call that goes through no node.
std::future<HttpAnswer> OccupyTarget(const Fleet& fleet, const std::string& node) {
  constexpr std::chrono::milliseconds kOccupiedLimit{60'000};
  fleet.SetTargetFault(node, R"({"slow_factor": 4})");
  const int before = CountRuns(fleet, node);
  HttpCall call;
  call.url = fleet.TargetUrl(node) + "/direct";
  call.timeout = kOccupiedLimit;
  auto occupied = std::async(std::launch::async, [call] { return MakeCall(call); });
  WaitUntil(kLeavingLimit, [&] { return CountRuns(fleet, node) > before; });
  fleet.SetTargetFault(node, R"({"slow_factor": 1})");
  return occupied;
}

TEST(LeavingTest, LeavingTargetGetsNoNewCallAndFinishesThoseInFlight) {
  Fleet fleet(SlowTargets(), RecordsWithoutRetries());
  ASSERT_TRUE(fleet.WaitReady());
  auto occupied = OccupyTarget(fleet, "s1");
  ContinuousLoad load(SlowLoad(fleet));
  ASSERT_TRUE(WaitUntil(kExitLimit, [&] { return CountRuns(fleet, "s1") >= 3; }));
  fleet.TargetProcess("s1").Signal(SIGTERM);
  EXPECT_FALSE(WaitUntil(kLeavingLimit, [&] { return !fleet.TargetProcess("s1").Running(); }))
      << "the target was to be kept busy";
  const int runs = CountRuns(fleet, "s1");
  EXPECT_TRUE(HoldsFor(kLeavingLimit, [&] {
    return !fleet.TargetProcess("s1").Running() || CountRuns(fleet, "s1") == runs;
  }));
  EXPECT_EQ(fleet.TargetProcess("s1").WaitForExit(kExitLimit), 0);
  load.Stop();
  EXPECT_EQ(load.Failures(), "");
  ExpectChildren(load);
}

TEST(LeavingTest, LeavingNodeFinishesItsCallsAndThoseItsTargetMakes) {
  Fleet fleet(SlowTargets(), RecordsWithoutRetries());
  ASSERT_TRUE(fleet.WaitReady());
  ContinuousLoad load(SlowLoad(fleet));
  ASSERT_TRUE(WaitUntil(kExitLimit, [&] { return CountRuns(fleet, "s1") >= 2; }));
  auto through_leaving = std::async(std::launch::async, [&] {
    return fleet.Call("s1", "GET", "/slow/work", {"X-Request-Tag: own"});
  });
  const int before = CountRuns(fleet, "s1") + CountRuns(fleet, "s2");
  ASSERT_TRUE(WaitUntil(kExitLimit,
                        [&] { return CountRuns(fleet, "s1") + CountRuns(fleet, "s2") > before; }));
  fleet.NodeProcess("s1").Signal(SIGTERM);
  const bool exited = WaitUntil(kLeavingLimit, [&] { return !fleet.NodeProcess("s1").Running(); });
  const int runs = CountRuns(fleet, "s1");
  EXPECT_TRUE(exited || HoldsFor(kLeavingLimit, [&] { return CountRuns(fleet, "s1") == runs; }));
  EXPECT_EQ(fleet.NodeProcess("s1").WaitForExit(kExitLimit), 0) << fleet.NodeProcess("s1").Output();
  EXPECT_EQ(through_leaving.get().status, 200);
  load.Stop();
  EXPECT_EQ(load.Failures(), "");
  ExpectChildren(load);
}

/// Runs by key, of targets that have ended and of those that still run.
class RunsByKey {
 public:
  void Add(const std::string& document) {
    const json runs = json::parse(document, nullptr, false);
    ASSERT_TRUE(runs.is_object()) << document;
    for (const auto& run : runs["list"]) ++this->counts[run.value("key", "")];
  }
  int Of(const std::string& key) const {
    const auto found = this->counts.find(key);
    return found == this->counts.end() ? 0 : found->second;
  }

 private:
  std::map<std::string, int> counts;
};

std::string LastLine(const std::string& text) {
  const auto end = text.find_last_not_of('\n');
  const auto start = text.rfind('\n', end);
  return text.substr(start + 1, end - start);
}

void Replace(Fleet& fleet, const std::string& node, RunsByKey* runs) {
  fleet.TargetProcess(node).Signal(SIGTERM);
  ASSERT_EQ(fleet.TargetProcess(node).WaitForExit(kExitLimit), 0) << node;
  runs->Add(LastLine(fleet.TargetProcess(node).Output()));
  fleet.NodeProcess(node).Signal(SIGTERM);
  ASSERT_EQ(fleet.NodeProcess(node).WaitForExit(kExitLimit), 0) << fleet.NodeProcess(node).Output();
  fleet.StartNode(node);
  fleet.StartTarget(node);
  ASSERT_TRUE(fleet.WaitReady()) << node;
}

TEST(LeavingTest, RollingReplacementLosesAndDoublesNoCall) {
  Fleet fleet(ReplaceableTargets(), RecordsWithoutRetries());
  ASSERT_TRUE(fleet.WaitReady());
  ContinuousLoad::Options reads;
  ContinuousLoad::Options writes;
  for (const auto* entry : {"e1", "e2"}) {
    reads.urls.push_back(fleet.CallerUrl(entry) + "/quick/days");
    writes.urls.push_back(fleet.CallerUrl(entry) + "/orders/new");
  }
  writes.method = "POST";
  writes.with_keys = true;
  ContinuousLoad reading(reads);
  ContinuousLoad writing(writes);
  RunsByKey runs;
  for (const auto* node : {"q1", "o1", "q2", "o2"}) {
    ASSERT_NO_FATAL_FAILURE(Replace(fleet, node, &runs));
  }
  reading.Stop();
  writing.Stop();
  EXPECT_EQ(reading.Failures(), "");
  EXPECT_EQ(writing.Failures(), "");
  EXPECT_GT(reading.Count(), 100U);
  for (const auto* node : {"o1", "o2"}) runs.Add(fleet.Runs(node));
  for (const auto& result : writing.Results()) EXPECT_EQ(runs.Of(result.tag), 1) << result.tag;
}

}  // namespace
}  // namespace fireflyrun::integration
