#include <gtest/gtest.h>

#include <algorithm>
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
using std::chrono::steady_clock;

constexpr seconds kLimit{20};
constexpr seconds kDeadline{8};
/// Within it, work moves off a connection that has fallen silent.
constexpr milliseconds kMoveLimit{2000};
/// Few enough for the first limit of a target that nobody has called yet.
constexpr int kCalls = 4;

/// One entry and two targets of `deep` and `filings` each.
class SilenceTest : public ::testing::Test {
 protected:
  static void SetUpTestSuite() {
    fleet = std::make_unique<Fleet>(
        std::vector<HostLayout>{{"a0", "east", "east-a", "", 0, 0, ""},
                                {"a1", "east", "east-a", "deep", 40, 2, ""},
                                {"a2", "east", "east-a", "deep", 40, 2, ""},
                                {"a3", "east", "east-a", "filings", 40, 2, ""}},
        Records(), FleetOptions{.network = true});
    recorder = std::make_unique<CallRecorder>(*fleet);
    ASSERT_TRUE(fleet->WaitReady());
  }
  static void TearDownTestSuite() {
    recorder.reset();
    fleet.reset();
  }

  /// Longer deadlines, so that a call may outlast a replaced connection.
  static std::string Records() {
    std::string text = ChainRecords();
    const std::string from = "\"deadline_ms\": 4000";
    for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at)) {
      text.replace(at, from.size(), "\"deadline_ms\": 8000");
    }
    return text;
  }

  void TearDown() override {
    for (const char* node : {"a1", "a2", "a3"}) {
      fleet->SetTargetFault(node, R"({"slow_factor": 1, "hang": false})");
    }
    EXPECT_TRUE(fleet->WaitReady(kLimit));
    EXPECT_EQ(recorder->Violations(), "");
  }

  static std::vector<std::future<HttpAnswer>> CallInBackground(const std::string& method,
                                                               const std::string& path) {
    std::vector<std::future<HttpAnswer>> calls;
    for (int i = 0; i < kCalls; ++i) {
      const std::string key = method == "POST" ? "silence-" + std::to_string(i) : "";
      calls.push_back(std::async(std::launch::async, [method, path, key] {
        return recorder->Call("a0", method, path, key, kDeadline);
      }));
    }
    return calls;
  }
  /// Whether the entry node counts on the target of `node`.
  static bool IsServing(const std::string& node) {
    const json targets = json::parse(Get(fleet->AdminUrl("a0") + "/targets").body);
    return std::any_of(targets.begin(), targets.end(), [&node](const json& target) {
      return target.value("node", "") == node && target.value("state", "") == "serving";
    });
  }
  static std::size_t RunsOf(const std::vector<std::string>& nodes) {
    std::size_t runs = 0;
    for (const auto& node : nodes) runs += json::parse(fleet->Runs(node))["runs"].get<size_t>();
    return runs;
  }

  static std::unique_ptr<Fleet> fleet;
  static std::unique_ptr<CallRecorder> recorder;
};

std::unique_ptr<Fleet> SilenceTest::fleet;
std::unique_ptr<CallRecorder> SilenceTest::recorder;

TEST_F(SilenceTest, AnswersAlreadyComputedAreFetchedOverANewConnection) {
  fleet->SetTargetFault("a3", R"({"slow_factor": 500})");
  const std::size_t before = RunsOf({"a3"});
  auto calls = CallInBackground("POST", "/filings/x");
  ASSERT_TRUE(WaitUntil(kLimit, [&] { return RunsOf({"a3"}) == before + kCalls; }));
  fleet->Network().SilenceExisting({"a3"});
  for (auto& call : calls) {
    const auto answer = call.get();
    EXPECT_EQ(answer.status, 200) << answer.body;
    EXPECT_EQ(json::parse(answer.body, nullptr, false).value("service", ""), "filings");
  }
  EXPECT_EQ(RunsOf({"a3"}), before + kCalls);
}

TEST_F(SilenceTest, IdempotentCallsInFlightAreAnsweredAndNotDoubled) {
  for (const char* node : {"a1", "a2"}) {
    fleet->SetTargetFault(node, R"({"slow_factor": 500})");
  }
  const std::size_t before = RunsOf({"a1", "a2"});
  auto calls = CallInBackground("GET", "/deep/x");
  ASSERT_TRUE(WaitUntil(kLimit, [&] { return RunsOf({"a1", "a2"}) == before + kCalls; }));
  fleet->Network().SilenceExisting({"a1", "a2"});
  for (auto& call : calls) EXPECT_EQ(call.get().status, 200);
  EXPECT_EQ(RunsOf({"a1", "a2"}), before + kCalls);
}

TEST_F(SilenceTest, NewWorkMovesOffASilentConnectionInTime) {
  ASSERT_EQ(recorder->Call("a0", "GET", "/deep/x", "", kDeadline).status, 200);
  fleet->Network().SilenceExisting({"a1"});
  auto calls = CallInBackground("GET", "/deep/x");
  const auto limit = steady_clock::now() + kMoveLimit;
  for (auto& call : calls) {
    EXPECT_EQ(call.wait_until(limit), std::future_status::ready);
    EXPECT_EQ(call.get().status, 200);
  }
}

TEST_F(SilenceTest, ControlConnectionsThatFallSilentAreReplaced) {
  fleet->Network().SilenceExisting({"east-a"});
  recorder->KeepRunsOf("a2");
  fleet->TargetProcess("a2").Kill();
  EXPECT_TRUE(WaitUntil(kLimit, [] { return !IsServing("a2"); }));
  fleet->StartTarget("a2");
}

TEST_F(SilenceTest, NewWorkMovesOffATargetThatHasFallenSilent) {
  fleet->TargetProcess("a1").Pause();
  EXPECT_TRUE(WaitUntil(kLimit, [] { return !IsServing("a1"); }));
  HttpAnswer last;
  const auto answered = [&last] {
    last = recorder->Call("a0", "GET", "/deep/x", "", kMoveLimit);
    return last.status == 200;
  };
  EXPECT_TRUE(HoldsFor(kMoveLimit, answered)) << last.status << last.body << last.error;
  fleet->TargetProcess("a1").Resume();
}

}  // namespace
}  // namespace fireflyrun::integration
