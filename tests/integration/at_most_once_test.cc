#include <gtest/gtest.h>

#include <future>
#include <nlohmann/json.hpp>

#include "tests/integration/call_recorder.h"
#include "tests/integration/fleet.h"
#include "tests/integration/wait_until.h"

namespace fireflyrun::integration {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kLimit{20};
constexpr milliseconds kShortDeadline{700};
constexpr seconds kLongDeadline{4};
/// Service time of a slowed target: 2 ms times this.
constexpr const char* kSlow = R"({"slow_factor": 500})";
constexpr const char* kNormal = R"({"slow_factor": 1, "hang": false})";
const std::vector<std::string> kFilingsNodes{"a1", "b1"};
const std::vector<std::string> kPostingsNodes{"a2", "b2"};

/// Two zones, each with an entry, a `filings` that calls `postings`, and a `postings`.
class AtMostOnceTest : public ::testing::Test {
 protected:
  static void SetUpTestSuite() {
    fleet = std::make_unique<Fleet>(
        std::vector<HostLayout>{{"a0", "east", "east-a", "", 0, 0, ""},
                                {"b0", "east", "east-b", "", 0, 0, ""},
                                {"a1", "east", "east-a", "filings", 20, 2, "postings:/post"},
                                {"b1", "east", "east-b", "filings", 20, 2, "postings:/post"},
                                {"a2", "east", "east-a", "postings", 20, 2, ""},
                                {"b2", "east", "east-b", "postings", 20, 2, ""}},
        ChainRecords(), FleetOptions{.network = true});
    recorder = std::make_unique<CallRecorder>(*fleet);
    ASSERT_TRUE(fleet->WaitReady());
  }
  static void TearDownTestSuite() {
    recorder.reset();
    fleet.reset();
  }

  void TearDown() override {
    fleet->Network().Heal();
    fleet->SetStoreFault(R"({"mode": "ok"})");
    SetFaults(kFilingsNodes, kNormal);
    SetFaults(kPostingsNodes, kNormal);
    EXPECT_TRUE(fleet->WaitReady(kLimit));
    EXPECT_EQ(recorder->Violations(), "");
  }

  static void SetFaults(const std::vector<std::string>& nodes, const char* fault) {
    for (const auto& node : nodes) fleet->SetTargetFault(node, fault);
  }
  static HttpAnswer File(const std::string& node, const std::string& key,
                         milliseconds deadline = kLongDeadline) {
    return recorder->Call(node, "POST", "/filings/orders", key, deadline);
  }
  static std::future<HttpAnswer> FileInBackground(const std::string& node, const std::string& key) {
    return std::async(std::launch::async, [node, key] { return File(node, key); });
  }
  static bool WaitForRun(const std::string& key) {
    return WaitUntil(kLimit, [&key] { return fleet->RunsOfKey(key) > 0; });
  }
  /// The node among `nodes` whose target has run `key`.
  static std::string NodeThatRan(const std::vector<std::string>& nodes, const std::string& key) {
    for (const auto& node : nodes) {
      if (fleet->Runs(node).find('"' + key + '"') != std::string::npos) return node;
    }
    return "";
  }
  /// Retries through every entry node.
  static void RetryEverywhere(const std::string& key) {
    for (const char* node : {"a0", "b0", "a1", "b2"}) File(node, key, kShortDeadline);
  }
  static std::string NewTicket(const std::string& node) {
    const auto issued = fleet->Call(node, "POST", "/tickets/filings");
    return json::parse(issued.body, nullptr, false).value("ticket", "");
  }

  static std::unique_ptr<Fleet> fleet;
  static std::unique_ptr<CallRecorder> recorder;
};

std::unique_ptr<Fleet> AtMostOnceTest::fleet;
std::unique_ptr<CallRecorder> AtMostOnceTest::recorder;

TEST_F(AtMostOnceTest, EntryNodeKilledWhileTheCallRuns) {
  SetFaults(kFilingsNodes, kSlow);
  auto first = FileInBackground("a0", "entry-killed");
  ASSERT_TRUE(WaitForRun("entry-killed"));
  fleet->NodeProcess("a0").Kill();
  EXPECT_EQ(first.get().status, 0);
  const auto again = File("b0", "entry-killed");
  EXPECT_EQ(again.status, 200) << again.body;
  fleet->StartNode("a0");
  EXPECT_EQ(File("a1", "entry-killed").body, again.body);
  EXPECT_EQ(fleet->RunsOfKey("entry-killed"), 1);
}

TEST_F(AtMostOnceTest, NodeOfTheTargetKilledWhileTheCallRuns) {
  SetFaults(kFilingsNodes, kSlow);
  auto first = FileInBackground("a0", "target-node-killed");
  ASSERT_TRUE(WaitForRun("target-node-killed"));
  const std::string node = NodeThatRan(kFilingsNodes, "target-node-killed");
  fleet->NodeProcess(node).Kill();
  EXPECT_EQ(first.get().Header("firefly-outcome"), "unknown");
  RetryEverywhere("target-node-killed");
  fleet->StartNode(node);
  ASSERT_TRUE(fleet->WaitReady(kLimit));
  EXPECT_EQ(File("b0", "target-node-killed").Header("firefly-outcome"), "unknown");
}

TEST_F(AtMostOnceTest, NodesOfTheTargetsPausedPastEveryTimeout) {
  for (const auto& node : kFilingsNodes) fleet->NodeProcess(node).Pause();
  const std::string ticket = "paused";
  File("a0", ticket, kShortDeadline);
  File("b0", ticket, kShortDeadline);
  EXPECT_TRUE(WaitUntil(kLimit, [] {
    return Get(fleet->AdminUrl("a0") + "/targets").body.find("unreachable") != std::string::npos;
  }));
  File("a0", ticket, kShortDeadline);
  for (const auto& node : kFilingsNodes) fleet->NodeProcess(node).Resume();
  ASSERT_TRUE(fleet->WaitReady(kLimit));
  File("b0", ticket);
  EXPECT_LE(fleet->RunsOfKey(ticket), 1);
}

TEST_F(AtMostOnceTest, NodeOfTheTargetPausedWhileTheCallRuns) {
  SetFaults(kFilingsNodes, kSlow);
  auto first = FileInBackground("a0", "paused-running");
  ASSERT_TRUE(WaitForRun("paused-running"));
  const std::string node = NodeThatRan(kFilingsNodes, "paused-running");
  fleet->NodeProcess(node).Pause();
  RetryEverywhere("paused-running");
  first.wait();
  fleet->NodeProcess(node).Resume();
  ASSERT_TRUE(fleet->WaitReady(kLimit));
  // The answer may have come only after the pause, past the deadline, and then nobody read it.
  const auto again = File("b0", "paused-running");
  EXPECT_TRUE(again.status == 200 || again.Header("firefly-outcome") == "unknown") << again.body;
  EXPECT_EQ(fleet->RunsOfKey("paused-running"), 1);
}

TEST_F(AtMostOnceTest, TargetKilledWhileTheCallRuns) {
  SetFaults(kFilingsNodes, R"({"hang": true})");
  auto first = FileInBackground("a0", "target-killed");
  ASSERT_TRUE(WaitForRun("target-killed"));
  const std::string node = NodeThatRan(kFilingsNodes, "target-killed");
  recorder->KeepRunsOf(node);
  fleet->TargetProcess(node).Kill();
  EXPECT_EQ(first.get().Header("firefly-outcome"), "unknown");
  fleet->StartTarget(node);
  SetFaults(kFilingsNodes, kNormal);
  ASSERT_TRUE(fleet->WaitReady(kLimit));
  RetryEverywhere("target-killed");
  EXPECT_EQ(fleet->RunsOfKey("target-killed"), 0) << "ran again after its target was killed";
}

TEST_F(AtMostOnceTest, EntryCutOffFromAllWhileTheCallRuns) {
  SetFaults(kFilingsNodes, kSlow);
  auto first = FileInBackground("a0", "entry-cut");
  ASSERT_TRUE(WaitForRun("entry-cut"));
  fleet->Network().CutBetween({"a0"}, {"east-a", "east-b"});
  const auto again = File("b0", "entry-cut");
  EXPECT_EQ(again.status, 200) << again.body;
  first.wait();
  fleet->Network().Heal();
  ASSERT_TRUE(fleet->WaitReady(kLimit));
  EXPECT_EQ(File("a0", "entry-cut").body, again.body);
  EXPECT_EQ(fleet->RunsOfKey("entry-cut"), 1);
}

TEST_F(AtMostOnceTest, ZonesCutWhileBothServeTheKey) {
  fleet->Network().CutBetween({"east-a"}, {"east-b"});
  auto first = FileInBackground("a0", "zones-cut");
  auto second = FileInBackground("b0", "zones-cut");
  first.wait();
  second.wait();
  fleet->Network().Heal();
  ASSERT_TRUE(fleet->WaitReady(kLimit));
  EXPECT_EQ(File("a0", "zones-cut").status, 200);
  EXPECT_EQ(File("b0", "zones-cut").status, 200);
  EXPECT_EQ(fleet->RunsOfKey("zones-cut"), 1);
}

TEST_F(AtMostOnceTest, StoreLosesItsAnswers) {
  fleet->SetStoreFault(R"({"mode": "lose_answers"})");
  File("a0", "answers-lost", kShortDeadline);
  File("b0", "answers-lost", kShortDeadline);
  fleet->SetStoreFault(R"({"mode": "ok"})");
  EXPECT_TRUE(WaitUntil(kLimit, [] { return File("b0", "answers-lost").status == 200; }));
  EXPECT_EQ(File("a0", "answers-lost").status, 200);
  EXPECT_EQ(fleet->RunsOfKey("answers-lost"), 1);
}

TEST_F(AtMostOnceTest, StoreOutageLeavesTicketsWorkingAndRefusesKeys) {
  fleet->SetStoreFault(R"({"mode": "down"})");
  const std::string ticket = NewTicket("a0");
  ASSERT_NE(ticket, "");
  const auto first = File("a0", ticket);
  EXPECT_EQ(first.status, 200) << first.body;
  EXPECT_EQ(File("b0", ticket).body, first.body);
  EXPECT_EQ(fleet->RunsOfKey(ticket), 1);
  const auto keyed = File("a0", "during-outage");
  EXPECT_EQ(keyed.status, 503);
  // Without the store no node can tell this key from one that ran before the outage.
  EXPECT_EQ(keyed.Header("firefly-outcome"), "unknown");
  EXPECT_EQ(fleet->RunsOfKey("during-outage"), 0);
}

TEST_F(AtMostOnceTest, KeyThatRanIsNeverCalledNotRunDuringAStoreOutage) {
  ASSERT_EQ(File("a0", "before-outage").status, 200);
  fleet->SetStoreFault(R"({"mode": "down"})");
  const auto repeated = File("b0", "before-outage");
  EXPECT_EQ(repeated.status, 503);
  EXPECT_EQ(repeated.Header("firefly-outcome"), "unknown");
  EXPECT_EQ(fleet->RunsOfKey("before-outage"), 1);
}

TEST_F(AtMostOnceTest, KeyThatRanIsNeverCalledNotRunPastTheDeadline) {
  ASSERT_EQ(File("a0", "in-time").status, 200);
  const auto late = File("b0", "in-time", milliseconds(0));
  EXPECT_EQ(late.status, 504);
  EXPECT_EQ(late.Header("firefly-outcome"), "unknown");
}

TEST_F(AtMostOnceTest, TicketThatItsNodeRefusedRunsOnlyAtItsSuccessor) {
  std::string ticket;
  ASSERT_TRUE(WaitUntil(kLimit, [&ticket] {
    ticket = NewTicket("a0");
    return ticket.ends_with(".a1");
  }));
  recorder->KeepRunsOf("a1");
  fleet->TargetProcess("a1").Kill();
  ASSERT_TRUE(WaitUntil(kLimit, [&ticket] { return File("a0", ticket).status == 200; }));
  fleet->StartTarget("a1");
  ASSERT_TRUE(fleet->WaitReady(kLimit));
  EXPECT_EQ(File("b0", ticket).status, 200);
  EXPECT_EQ(File("a0", ticket).status, 200);
  EXPECT_EQ(NodeThatRan(kFilingsNodes, ticket), "b1");
  EXPECT_EQ(fleet->RunsOfKey(ticket), 1);
}

TEST_F(AtMostOnceTest, NodeOfTheChildKilledWhileTheChildRuns) {
  SetFaults(kPostingsNodes, kSlow);
  auto first = FileInBackground("a0", "child-killed");
  ASSERT_TRUE(WaitForRun("child-killed/0"));
  const std::string node = NodeThatRan(kPostingsNodes, "child-killed/0");
  fleet->NodeProcess(node).Kill();
  first.wait();
  RetryEverywhere("child-killed");
  fleet->StartNode(node);
  ASSERT_TRUE(fleet->WaitReady(kLimit));
  RetryEverywhere("child-killed");
  EXPECT_EQ(fleet->RunsOfKey("child-killed"), 1);
  EXPECT_EQ(fleet->RunsOfKey("child-killed/0"), 1);
}

TEST_F(AtMostOnceTest, ZonesCutWhileTheChildRuns) {
  SetFaults(kPostingsNodes, kSlow);
  auto first = FileInBackground("a0", "child-cut");
  ASSERT_TRUE(WaitForRun("child-cut/0"));
  fleet->Network().CutBetween({"east-a"}, {"east-b"});
  first.wait();
  RetryEverywhere("child-cut");
  fleet->Network().Heal();
  ASSERT_TRUE(fleet->WaitReady(kLimit));
  RetryEverywhere("child-cut");
  EXPECT_EQ(fleet->RunsOfKey("child-cut"), 1);
  EXPECT_EQ(fleet->RunsOfKey("child-cut/0"), 1);
}

}  // namespace
}  // namespace fireflyrun::integration
