#include <gtest/gtest.h>

#include <future>
#include <nlohmann/json.hpp>
#include <thread>

#include "tests/integration/call_recorder.h"
#include "tests/integration/fleet.h"
#include "tests/integration/wait_until.h"

namespace fireflyrun::integration {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kLimit{20};
constexpr seconds kDeadline{20};
/// Service time of a target is 2 ms times this.
constexpr const char* kSlow = R"({"slow_factor": 300})";

/// What falls silent while its work runs.
enum class Silent { kEntryNode, kTargetsNode, kTarget, kNetwork };

struct Silence {
  Silent who;
  seconds span;
};

std::string NameOf(const testing::TestParamInfo<Silence>& info) {
  constexpr const char* kNames[] = {"EntryNode", "TargetsNode", "Target", "Network"};
  return kNames[static_cast<int>(info.param.who)] + std::to_string(info.param.span.count()) + "s";
}

/// Longer deadlines than the longest silence, and no retries: what is given up stays lost.
std::string Records() {
  std::string text = ChainRecords();
  const auto replace_all = [&text](const std::string& from, const std::string& to) {
    for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
      text.replace(at, from.size(), to);
    }
  };
  replace_all("\"deadline_ms\": 4000", "\"deadline_ms\": 20000");
  replace_all("\"retries_per_request\": 3", "\"retries_per_request\": 0");
  return text;
}

/// An entry `a0` and one target of `filings`, which must run at most once, on `a1`.
class SilentHostTest : public testing::TestWithParam<Silence> {
 protected:
  void SetUp() override { ASSERT_TRUE(this->fleet.WaitReady()); }

  void SetSilent(bool silent) {
    const auto pause = [silent](Process& process) {
      if (silent) {
        process.Pause();
      } else {
        process.Resume();
      }
    };
    switch (GetParam().who) {
      case Silent::kEntryNode:
        return pause(this->fleet.NodeProcess("a0"));
      case Silent::kTargetsNode:
        return pause(this->fleet.NodeProcess("a1"));
      case Silent::kTarget:
        return pause(this->fleet.TargetProcess("a1"));
      case Silent::kNetwork:
        if (silent) {
          this->fleet.Network().CutBetween({"a0"}, {"a1"});
        } else {
          this->fleet.Network().Heal();
        }
    }
  }

  Fleet fleet{{{"a0", "east", "east-a", "", 0, 0, ""}, {"a1", "east", "east-a", "filings", 20, 2}},
              Records(),
              FleetOptions{.network = true}};
  CallRecorder recorder{this->fleet};
};

/// Neither given up nor started again: the caller gets the answer of the one run.
TEST_P(SilentHostTest, RunningWorkOfASilentHostIsAnsweredOnce) {
  this->fleet.SetTargetFault("a1", kSlow);
  auto call = std::async(std::launch::async, [this] {
    return this->recorder.Call("a0", "POST", "/filings/x", "silent", kDeadline);
  });
  ASSERT_TRUE(WaitUntil(kLimit, [this] { return this->fleet.RunsOfKey("silent") == 1; }));
  this->SetSilent(true);
  std::this_thread::sleep_for(GetParam().span);
  this->SetSilent(false);
  const auto answer = call.get();
  EXPECT_EQ(answer.status, 200) << answer.body << answer.error;
  EXPECT_EQ(this->fleet.RunsOfKey("silent"), 1);
  EXPECT_EQ(this->recorder.Violations(), "");
}

INSTANTIATE_TEST_SUITE_P(
    Spans, SilentHostTest,
    testing::Values(
        Silence{Silent::kEntryNode, seconds(1)}, Silence{Silent::kEntryNode, seconds(3)},
        Silence{Silent::kEntryNode, seconds(10)}, Silence{Silent::kTargetsNode, seconds(1)},
        Silence{Silent::kTargetsNode, seconds(3)}, Silence{Silent::kTargetsNode, seconds(10)},
        Silence{Silent::kTarget, seconds(1)}, Silence{Silent::kTarget, seconds(3)},
        Silence{Silent::kTarget, seconds(10)}, Silence{Silent::kNetwork, seconds(1)},
        Silence{Silent::kNetwork, seconds(3)}, Silence{Silent::kNetwork, seconds(10)}),
    NameOf);

}  // namespace
}  // namespace fireflyrun::integration
