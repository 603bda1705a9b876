#include <gtest/gtest.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <thread>

#include "tests/integration/fleet.h"
#include "tests/integration/wait_until.h"

namespace fireflyrun::integration {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kLimit{10'000};
constexpr milliseconds kGrace{3'000};
constexpr milliseconds kNotice{1'000};
constexpr milliseconds kMoment{300};

/// An entry and two targets; the entry is killed three seconds after a stop.
std::vector<HostLayout> Hosts() {
  HostLayout entry{"a1", "east", "east-a"};
  entry.node_flags = {"--stop-grace", "3", "--stop-notice", "1"};
  return {
      entry, {"a2", "east", "east-a", "deep", 20, 700}, {"a3", "east", "east-a", "deep", 20, 700}};
}

class StopTest : public ::testing::Test {
 protected:
  void SetUp() override { ASSERT_TRUE(this->fleet.WaitReady()); }

  std::future<HttpAnswer> CallInBackground() {
    return std::async(std::launch::async,
                      [this] { return this->fleet.Call("a1", "GET", "/deep/x"); });
  }
  bool IsReady() const { return Get(this->fleet.AdminUrl("a1") + "/health").status == 200; }

  Fleet fleet{Hosts(), ChainRecords()};
};

TEST_F(StopTest, HangupsAndLostPipesEndNothing) {
  Process& node = this->fleet.NodeProcess("a1");
  auto call = this->CallInBackground();
  node.Signal(SIGHUP);
  node.Signal(SIGPIPE);
  node.Signal(SIGHUP);
  EXPECT_EQ(call.get().status, 200);
  EXPECT_TRUE(node.Running());
  EXPECT_TRUE(this->IsReady());
}

/// Settings in a file, which every node of the fleet reads.
class SettingsFileTest : public ::testing::Test {
 protected:
  static std::string MakePath() {
    std::string path = std::filesystem::temp_directory_path() / "fireflyrun-settings-XXXXXX";
    close(mkstemp(path.data()));
    Write(path, "FIREFLYRUN_ANNOUNCEMENT_LIMIT=5\n");
    setenv("FIREFLYRUN_BOOT", path.c_str(), 1);
    return path;
  }
  static void Write(const std::string& path, const std::string& text) {
    std::ofstream(path) << text;
  }
  ~SettingsFileTest() override {
    unsetenv("FIREFLYRUN_BOOT");
    std::filesystem::remove(this->path);
  }
  bool NodeSays(const std::string& text) {
    return WaitUntil(kLimit, [&] {
      return this->fleet.NodeProcess("a1").Output().find(text) != std::string::npos;
    });
  }

  std::string path = MakePath();
  Fleet fleet{{{"a1", "east", "east-a"}}, ChainRecords()};
};

TEST_F(SettingsFileTest, ChangesComeIntoForceWithAndWithoutASignal) {
  ASSERT_TRUE(this->fleet.WaitReady());
  Write(this->path, "FIREFLYRUN_ANNOUNCEMENT_LIMIT=6\n");
  this->fleet.NodeProcess("a1").Signal(SIGHUP);
  EXPECT_TRUE(this->NodeSays("event=changed announcement-limit=6"));
  Write(this->path, "FIREFLYRUN_ANNOUNCEMENT_LIMIT=7\nFIREFLYRUN_MAX_CONNECTIONS=9\n");
  EXPECT_TRUE(this->NodeSays("event=changed announcement-limit=7"));
  EXPECT_TRUE(this->NodeSays("event=needs-restart max-connections=9"));
  Write(this->path, "FIREFLYRUN_ANNOUN");
  this->fleet.NodeProcess("a1").Signal(SIGHUP);
  EXPECT_TRUE(this->NodeSays("event=left-as-they-are"));
  EXPECT_TRUE(this->fleet.WaitReady());
}

TEST_F(StopTest, EndsBeforeTheKillAlthoughTheStoreSaysNothing) {
  Process& node = this->fleet.NodeProcess("a1");
  this->fleet.StoreProcess().Pause();
  const auto start = steady_clock::now();
  node.Signal(SIGTERM);
  EXPECT_EQ(node.WaitForExit(kGrace), 0) << node.ErrorOutput();
  EXPECT_GE(steady_clock::now() - start, kNotice);
  EXPECT_LT(steady_clock::now() - start, kGrace - kMoment);
  this->fleet.StoreProcess().Resume();
}

TEST_F(StopTest, ServesUntilTheNoticeIsOverAndFinishesWhatItTook) {
  Process& node = this->fleet.NodeProcess("a1");
  const auto start = steady_clock::now();
  auto before = this->CallInBackground();
  ASSERT_FALSE(WaitUntil(kMoment, [&] { return !this->IsReady(); }));
  node.Signal(SIGTERM);
  EXPECT_TRUE(WaitUntil(kMoment, [&] { return !this->IsReady(); }));
  auto meanwhile = this->CallInBackground();
  node.Signal(SIGTERM);
  EXPECT_EQ(before.get().status, 200);
  const HttpAnswer last = meanwhile.get();
  EXPECT_EQ(last.status, 200) << last.error;
  EXPECT_EQ(node.WaitForExit(kLimit), 0);
  EXPECT_LT(steady_clock::now() - start, kGrace + kMoment);
}

/// While its callers are given notice, a stopping node's target goes on working for other nodes.
TEST(StoppingTargetTest, WorksForOthersUntilTheNoticeIsNearlyOver) {
  HostLayout stopping{"t1", "east", "east-a", "deep", 20, 20};
  stopping.node_flags = {"--stop-notice", "4"};
  Fleet fleet({{"a1", "east", "east-a"}, stopping}, ChainRecords());
  ASSERT_TRUE(fleet.WaitReady());
  const auto answers = [&] { return fleet.Call("a1", "GET", "/deep/x").status == 200; };
  ASSERT_TRUE(answers());
  const auto start = steady_clock::now();
  fleet.NodeProcess("t1").Signal(SIGTERM);
  EXPECT_TRUE(HoldsFor(milliseconds(1'500), answers));
  EXPECT_TRUE(WaitUntil(kLimit, [&] { return !answers(); }));
  EXPECT_LT(steady_clock::now() - start, milliseconds(4'000));
  EXPECT_EQ(fleet.NodeProcess("t1").WaitForExit(kLimit), 0);
}

/// A target that never ends its call doesn't hold the process beyond the kill.
TEST_F(StopTest, GivesUpCallsThatOutlastTheStop) {
  for (const auto* target : {"a2", "a3"}) {
    this->fleet.SetTargetFault(target, R"({"hang": true})");
  }
  auto call = this->CallInBackground();
  ASSERT_TRUE(HoldsFor(kMoment, [&] { return this->IsReady(); }));
  Process& node = this->fleet.NodeProcess("a1");
  node.Signal(SIGTERM);
  EXPECT_EQ(node.WaitForExit(kGrace - kMoment / 3), 0) << node.ErrorOutput();
  EXPECT_NE(call.get().status, 200);
}

/// Not cut off: whoever waits hears that the outcome is unknown.
TEST_F(StopTest, CallersOfCallsThatOutlastTheStopAreAnswered) {
  for (const auto* target : {"a2", "a3"}) {
    this->fleet.SetTargetFault(target, R"({"hang": true})");
  }
  auto call = this->CallInBackground();
  ASSERT_TRUE(HoldsFor(kMoment, [&] { return this->IsReady(); }));
  this->fleet.NodeProcess("a1").Signal(SIGTERM);
  const HttpAnswer answer = call.get();
  EXPECT_EQ(answer.status, 502) << answer.error;
  EXPECT_EQ(answer.Header("firefly-outcome"), "unknown");
  EXPECT_EQ(this->fleet.NodeProcess("a1").WaitForExit(kGrace), 0);
}

/// The time to the kill counts from the signal, not from when a busy event loop sees it.
TEST_F(StopTest, EndsBeforeTheKillAlthoughItSeesTheSignalLate) {
  constexpr milliseconds kHeldUp{800};
  for (const auto* target : {"a2", "a3"}) {
    this->fleet.SetTargetFault(target, R"({"hang": true})");
  }
  auto call = this->CallInBackground();
  ASSERT_TRUE(HoldsFor(kMoment, [&] { return this->IsReady(); }));
  Process& node = this->fleet.NodeProcess("a1");
  const auto start = steady_clock::now();
  node.Pause();
  node.Signal(SIGTERM);
  std::this_thread::sleep_for(kHeldUp);
  node.Resume();
  EXPECT_EQ(node.WaitForExit(kGrace), 0) << node.ErrorOutput();
  EXPECT_LT(steady_clock::now() - start, kGrace);
  EXPECT_NE(call.get().status, 200);
}

}  // namespace
}  // namespace fireflyrun::integration
