#include <gtest/gtest.h>

#include <atomic>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

#include "tests/integration/call_recorder.h"
#include "tests/integration/fleet.h"
#include "tests/integration/wait_until.h"

namespace fireflyrun::integration {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kLimit{30};
constexpr milliseconds kDeadline{600};
constexpr std::size_t kCallsDuringAFault = 60;
constexpr int kFaults = 16;
constexpr int kCallers = 8;
constexpr int kMaxTries = 5;
constexpr std::size_t kMinAnswered = 100;
const std::vector<std::string> kEntries{"a0", "b0", "a1", "b1", "a2", "b2"};
const std::vector<std::string> kNodes{"a1", "b1", "a2", "b2"};

/// From FIREFLYRUN_SEED, or a random one; printed by the test.
unsigned ChooseSeed() {
  const char* given = std::getenv("FIREFLYRUN_SEED");
  return given != nullptr ? static_cast<unsigned>(std::stoul(given)) : std::random_device()();
}

class RandomFaultsTest : public ::testing::Test {
 protected:
  RandomFaultsTest()
      : fleet({{"a0", "east", "east-a", "deep", 2, 30, ""},
               {"b0", "east", "east-b", "deep", 2, 30, ""},
               {"a1", "east", "east-a", "filings", 20, 5, "postings:/post"},
               {"b1", "east", "east-b", "filings", 20, 5, "postings:/post"},
               {"a2", "east", "east-a", "postings", 20, 5, ""},
               {"b2", "east", "east-b", "postings", 20, 5, ""}},
              ChainRecords(), FleetOptions{.network = true}),
        recorder(fleet),
        seed(ChooseSeed()),
        random(this->seed) {}

  std::size_t Pick(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(this->random);
  }

  /// One fault for a while, then none.
  void InjectFault() {
    auto& network = this->fleet.Network();
    const std::string& node = kNodes[this->Pick(kNodes.size())];
    const std::string& other = kEntries[this->Pick(kEntries.size())];
    switch (this->Pick(10)) {
      case 0:
        this->fleet.NodeProcess(node).Kill();
        break;
      case 1:
        this->fleet.NodeProcess(node).Pause();
        break;
      case 2:
        network.CutBetween({"east-a"}, {"east-b"});
        break;
      case 3:
        network.CutOneWay({node}, {other});
        break;
      case 4:
        network.SilenceExisting({node});
        break;
      case 5:
        network.Reset({node});
        break;
      case 6:
        network.CutStore({other, node});
        break;
      case 7:
        this->fleet.SetStoreFault(R"({"mode": "lose_answers"})");
        break;
      case 8:
        this->fleet.SetTargetFault(node, R"({"hang": true})");
        break;
      default:
        this->fleet.SetTargetFault(node, R"({"slow_factor": 150})");
        break;
    }
    const std::size_t enough = this->recorder.Calls() + kCallsDuringAFault;
    WaitUntil(kLimit, [this, enough] { return this->recorder.Calls() >= enough; });
    this->EndFault(node);
  }

  void EndFault(const std::string& node) {
    this->fleet.Network().Heal();
    this->fleet.SetStoreFault(R"({"mode": "ok"})");
    this->fleet.SetTargetFault(node, R"({"hang": false, "slow_factor": 1})");
    this->fleet.NodeProcess(node).Resume();
    if (!this->fleet.NodeProcess(node).Running()) this->fleet.StartNode(node);
  }

  /// Calls with a key that is retried, through another node each time, until it is answered.
  void FileWithRetries(std::mt19937& choices, const std::string& own_key) {
    const auto entry = [&choices] { return kEntries[choices() % kEntries.size()]; };
    std::string key = own_key;
    if (choices() % 2 == 0) {
      const auto issued = this->fleet.Call(entry(), "POST", "/tickets/filings");
      if (issued.status != 201) return;
      key = json::parse(issued.body)["ticket"];
    }
    for (int i = 0; i < kMaxTries; ++i) {
      const auto answer = this->recorder.Call(entry(), "POST", "/filings/x", key, kDeadline);
      if (answer.status == 200) return;
    }
  }

  void RunCaller(unsigned number) {
    std::mt19937 choices(number);
    for (int i = 0; !this->stopping; ++i) {
      const std::string key = "key-" + std::to_string(number) + "-" + std::to_string(i);
      this->FileWithRetries(choices, key);
      const auto& entry = kEntries[choices() % kEntries.size()];
      this->recorder.Call(entry, "GET", "/deep/x", "", milliseconds(100));
    }
  }

  Fleet fleet;
  CallRecorder recorder;
  unsigned seed;
  std::mt19937 random;
  std::atomic<bool> stopping = false;
};

TEST_F(RandomFaultsTest, NothingRunsTwiceAndEveryOutcomeIsTrue) {
  SCOPED_TRACE("FIREFLYRUN_SEED=" + std::to_string(this->seed));
  ASSERT_TRUE(this->fleet.WaitReady());
  std::vector<std::thread> callers;
  for (unsigned i = 0; i < kCallers; ++i) callers.emplace_back([this, i] { this->RunCaller(i); });
  for (int i = 0; i < kFaults; ++i) this->InjectFault();
  this->stopping = true;
  for (auto& caller : callers) caller.join();
  EXPECT_TRUE(this->fleet.WaitReady(kLimit));
  EXPECT_EQ(this->recorder.Violations(), "");
  EXPECT_GE(this->recorder.Count(200), kMinAnswered);
  EXPECT_GT(this->recorder.CountOutcome("unknown"), 0U);
  EXPECT_GT(this->recorder.CountOutcome("not-run"), 0U);
  RecordProperty("answered", static_cast<int>(this->recorder.Count(200)));
  RecordProperty("calls", static_cast<int>(this->recorder.Calls()));
  RecordProperty("unknown", static_cast<int>(this->recorder.CountOutcome("unknown")));
  RecordProperty("not_run", static_cast<int>(this->recorder.CountOutcome("not-run")));
}

}  // namespace
}  // namespace fireflyrun::integration
