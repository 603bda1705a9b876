#include <gtest/gtest.h>

#include <csignal>
#include <nlohmann/json.hpp>

#include "tests/integration/fleet.h"
#include "tests/integration/revision_monitor.h"
#include "tests/integration/wait_until.h"

namespace fireflyrun::integration {
namespace {

using nlohmann::json;

/// Records are in force on every reachable node within this time, also after healing.
constexpr std::chrono::milliseconds kRecordsLimit{5'000};
/// Every node sees every other within this time after healing.
constexpr std::chrono::milliseconds kMembershipLimit{10'000};
constexpr std::chrono::milliseconds kDetectionLimit{20'000};
constexpr std::chrono::milliseconds kStartLimit{20'000};
constexpr int kCalls = 20;
const std::vector<std::string> kZoneA{"a1", "a2", "a3"};
const std::vector<std::string> kZoneB{"b1", "b2", "b3"};
const std::vector<std::string> kAll{"a1", "a2", "a3", "b1", "b2", "b3"};

/// The chain `entry` - `middle` is in both zones, `deep` in the second alone.
std::vector<HostLayout> TwoZones() {
  return {{"a1", "east", "east-a", "entry", 20, 2, "middle:/part"},
          {"a2", "east", "east-a", "middle", 20, 2, ""},
          {"a3", "east", "east-a", "", 0, 0, ""},
          {"b1", "east", "east-b", "entry", 20, 2, "middle:/part"},
          {"b2", "east", "east-b", "middle", 20, 2, ""},
          {"b3", "east", "east-b", "deep", 20, 2, ""}};
}

/// One fleet serves all tests of this file; while it does, its nodes' revisions are watched.
class ZonesTest : public ::testing::Test {
 protected:
  static void SetUpTestSuite() {
    fleet = std::make_unique<Fleet>(TwoZones(), ChainRecords(), FleetOptions{.network = true});
    std::map<std::string, std::string> urls;
    for (const auto& node : kAll) urls[node] = fleet->AdminUrl(node);
    monitor = std::make_unique<RevisionMonitor>(urls);
  }
  static void TearDownTestSuite() {
    monitor.reset();
    fleet.reset();
  }

  void SetUp() override { ASSERT_TRUE(fleet->WaitReady()); }

  void TearDown() override {
    fleet->Network().Heal();
    EXPECT_EQ(monitor->Reversions(), "");
  }

  /// Writes a change past the network; its revision.
  static std::int64_t Change() {
    static int changes = 0;
    const std::string text = R"({"kind": "retry_allowance", "schema": 1, "name": "changing",)"
                             R"("success_ratio": 0.1, "burst": 1, "retries_per_request": )" +
                             std::to_string(++changes) + "}";
    const auto applied = fleet->Command({"apply", fleet->WriteFile("change.json", text)});
    EXPECT_EQ(applied.status, 0) << applied.errors;
    const auto place = applied.output.find("revision ");
    return place == std::string::npos ? 0 : std::stoll(applied.output.substr(place + 9));
  }

  static bool InForce(const std::vector<std::string>& nodes, std::int64_t revision) {
    return std::all_of(nodes.begin(), nodes.end(), [&](const std::string& node) {
      return ShownRevision(fleet->AdminUrl(node)) >= revision;
    });
  }

  /// What `GET /targets` of `observer` says of the target of `node`: `state/reachability`.
  static std::string Seen(const std::string& observer, const std::string& node) {
    const json targets =
        json::parse(Get(fleet->AdminUrl(observer) + "/targets").body, nullptr, false);
    for (const auto& target : targets) {
      if (target.value("node", "") != node) continue;
      return target.value("state", "") + "/" + target.value("reachability", "");
    }
    return "absent";
  }

  static bool Unreachable(const std::string& observer, const std::string& node) {
    return Seen(observer, node) == "serving/unreachable";
  }

  static void ExpectCallsSucceed(const std::vector<std::string>& nodes, const std::string& path) {
    for (const auto& node : nodes) {
      for (int i = 0; i < kCalls; ++i) {
        const auto answer = fleet->Call(node, "GET", path);
        EXPECT_EQ(answer.status, 200) << node << " " << answer.body << answer.error;
      }
    }
  }

  static std::unique_ptr<Fleet> fleet;
  static std::unique_ptr<RevisionMonitor> monitor;
};

std::unique_ptr<Fleet> ZonesTest::fleet;
std::unique_ptr<RevisionMonitor> ZonesTest::monitor;

TEST_F(ZonesTest, ZoneCutFromEverythingServesWhatItCanAndHealsAlone) {
  fleet->Network().CutBetween({"east-a"}, {"east-b"});
  fleet->Network().CutStore({"east-a"});
  ExpectCallsSucceed(kZoneA, "/entry/x");
  const auto refused = fleet->Call("a1", "GET", "/deep/x", {"Firefly-Deadline-Ms: 1000"});
  EXPECT_GE(refused.status, 500) << refused.body;
  EXPECT_NE(refused.Header("firefly-outcome"), "") << refused.body;
  const auto revision = Change();
  EXPECT_TRUE(WaitUntil(kRecordsLimit, [&] { return InForce(kZoneB, revision); }));
  EXPECT_TRUE(WaitUntil(kDetectionLimit, [] {
    return Unreachable("a1", "b3") && Unreachable("a3", "b3") && Unreachable("b1", "a1");
  }));
  EXPECT_EQ(fleet->Call("a1", "GET", "/deep/x").Header("firefly-outcome"), "not-run");
  ExpectCallsSucceed(kAll, "/entry/x");
  EXPECT_FALSE(InForce({"a1"}, revision)) << "the zone was to be cut off";
  // Only the other zone can tell of this one's new process.
  fleet->NodeProcess("b3").Kill();
  fleet->StartNode("b3");
  EXPECT_TRUE(
      WaitUntil(kStartLimit, [] { return fleet->Call("b1", "GET", "/deep/x").status == 200; }));
  fleet->Network().Heal();
  EXPECT_TRUE(WaitUntil(kRecordsLimit, [&] { return InForce(kAll, revision); }));
  EXPECT_TRUE(fleet->WaitReady(kMembershipLimit));
  EXPECT_TRUE(WaitUntil(kMembershipLimit,
                        [] { return fleet->Call("a1", "GET", "/deep/x").status == 200; }));
}

TEST_F(ZonesTest, OneWayCutHealsAlone) {
  fleet->Network().CutOneWay({"east-a"}, {"east-b"});
  const auto revision = Change();
  EXPECT_TRUE(WaitUntil(kRecordsLimit, [&] { return InForce(kAll, revision); }));
  ExpectCallsSucceed(kZoneB, "/entry/x");
  EXPECT_TRUE(WaitUntil(kDetectionLimit, [] { return Unreachable("a1", "b3"); }));
  ExpectCallsSucceed(kAll, "/entry/x");
  fleet->Network().Heal();
  EXPECT_TRUE(fleet->WaitReady(kMembershipLimit));
}

TEST_F(ZonesTest, PausedNodeRevivesNothingOld) {
  fleet->NodeProcess("a2").Pause();
  EXPECT_TRUE(WaitUntil(kDetectionLimit,
                        [] { return Unreachable("a1", "a2") && Unreachable("b1", "a2"); }));
  fleet->TargetProcess("b3").Signal(SIGTERM);
  EXPECT_EQ(fleet->TargetProcess("b3").WaitForExit(kStartLimit), 0);
  fleet->NodeProcess("b3").Kill();
  fleet->StartNode("b3");
  const auto is_gone = [](const std::string& observer) {
    return !Seen(observer, "b3").starts_with("serving");
  };
  EXPECT_TRUE(WaitUntil(kDetectionLimit, [&] { return is_gone("a1") && is_gone("b1"); }));
  const auto revision = Change();
  fleet->NodeProcess("a2").Resume();
  EXPECT_TRUE(WaitUntil(kRecordsLimit, [&] { return InForce(kAll, revision); }));
  EXPECT_TRUE(WaitUntil(kMembershipLimit, [&] {
    return is_gone("a2") && !Unreachable("a1", "a2") && !Unreachable("b1", "a2");
  }));
  EXPECT_TRUE(HoldsFor(kRecordsLimit, [&] { return is_gone("a1") && is_gone("b1"); }));
  fleet->StartTarget("b3");
  EXPECT_TRUE(fleet->WaitReady(kMembershipLimit));
}

TEST_F(ZonesTest, RecordsSpreadWhileDelegatesAreKilledOneAfterAnother) {
  for (const auto& order : {kZoneA, std::vector<std::string>{"b3", "b2", "b1"}}) {
    std::vector<std::string> left = kAll;
    for (std::size_t i = 0; i + 1 < order.size(); ++i) {
      fleet->NodeProcess(order[i]).Kill();
      std::erase(left, order[i]);
      const auto revision = Change();
      EXPECT_TRUE(WaitUntil(kRecordsLimit, [&] { return InForce(left, revision); })) << order[i];
    }
    for (std::size_t i = 0; i + 1 < order.size(); ++i) fleet->StartNode(order[i]);
    EXPECT_TRUE(fleet->WaitReady(kStartLimit));
  }
}

TEST_F(ZonesTest, RecordsSpreadWhileTwoNodesOfAZoneAreKilledAtOnce) {
  // One of the pairs is that of the zone's two delegates.
  for (const auto& survivor : kZoneA) {
    for (const auto& node : kZoneA) {
      if (node != survivor) fleet->NodeProcess(node).Kill();
    }
    const auto revision = Change();
    EXPECT_TRUE(WaitUntil(kRecordsLimit, [&] { return InForce({survivor}, revision); }))
        << survivor;
    for (const auto& node : kZoneA) {
      if (node != survivor) fleet->StartNode(node);
    }
    EXPECT_TRUE(fleet->WaitReady(kStartLimit));
  }
}

TEST_F(ZonesTest, ZoneRestartsWithoutTheStore) {
  const auto revision = Change();
  ASSERT_TRUE(WaitUntil(kRecordsLimit, [&] { return InForce(kAll, revision); }));
  fleet->Network().CutStore({"east-a"});
  for (const auto& node : kZoneA) fleet->NodeProcess(node).Kill();
  for (const auto& node : kZoneA) fleet->StartNode(node);
  EXPECT_TRUE(fleet->WaitReady(kStartLimit));
  EXPECT_TRUE(InForce(kZoneA, revision));
  ExpectCallsSucceed(kZoneA, "/entry/x");
  const auto later = Change();
  EXPECT_TRUE(WaitUntil(kRecordsLimit, [&] { return InForce(kAll, later); }));
}

}  // namespace
}  // namespace fireflyrun::integration
