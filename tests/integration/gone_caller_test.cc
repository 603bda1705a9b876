#include <gtest/gtest.h>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <csignal>
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

/// Far above all time limits, so that nothing ends for having expired.
constexpr const char* kDeadlineMs = "60000";
constexpr seconds kLimit{10};
constexpr milliseconds kPatience{800};
constexpr std::uint16_t kCallerPort = 7400;
/// From a caller's leaving to the end of its call, where its node has to open the link again.
constexpr seconds kReopenedLinkLimit{3};
/// The same where its node is gone: the time after which it has given the call up, and a margin.
constexpr seconds kGoneNodeLimit{6};

std::string Records() {
  std::string text = ChainRecords();
  const auto replace_all = [&text](const std::string& from, const std::string& to) {
    for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
      text.replace(at, from.size(), to);
    }
  };
  replace_all("\"deadline_ms\": 4000", std::string("\"deadline_ms\": ") + kDeadlineMs);
  replace_all("\"retries_per_request\": 3", "\"retries_per_request\": 20");
  return text;
}

/// A caller that has sent a request, and closes its connection when told to.
class LeavingCaller {
 public:
  LeavingCaller(const std::string& address, const std::string& path) : socket(this->loop) {
    this->socket.connect({asio::ip::make_address(address), kCallerPort});
    const std::string request = "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
    asio::write(this->socket, asio::buffer(request));
  }
  void Leave() { this->socket.close(); }

 private:
  asio::io_context loop;
  asio::ip::tcp::socket socket;
};

/// An entry, a target on a node of its own, and one that calls it.
class GoneCallerTest : public ::testing::Test {
 protected:
  GoneCallerTest()
      : fleet({{"a0", "east", "east-a", "", 0, 0, "", {"--stop-grace", "3", "--stop-notice", "1"}},
               {"a1", "east", "east-a", "deep", 1, 2, ""},
               {"a2", "east", "east-a", "middle", 5, 2, "deep:/leaf"}},
              Records(), FleetOptions{.network = true}) {}

  void SetUp() override { ASSERT_TRUE(this->fleet.WaitReady()); }

  int Count(const std::string& node, const char* counter) const {
    return json::parse(this->fleet.Runs(node))[counter].get<int>();
  }
  /// Waits for a line of a node's metrics.
  bool WaitForMetric(const std::string& node, const std::string& line) const {
    return WaitUntil(kLimit, [&] {
      const std::string metrics = Get(this->fleet.AdminUrl(node) + "/metrics").body;
      return metrics.find("\n" + line + "\n") != std::string::npos;
    });
  }
  /// A caller that leaves after `kPatience`.
  std::future<HttpAnswer> CallAndLeave(const std::string& path) {
    HttpCall call;
    call.url = this->fleet.CallerUrl("a0") + path;
    call.timeout = kPatience;
    return std::async(std::launch::async, [call] { return MakeCall(call); });
  }
  /// Starts a call that hangs at the target, lets `fault` happen just before the caller leaves, and
  /// waits until the target is told of that.
  void ExpectCancelledAfter(const std::function<void()>& fault, seconds limit) {
    this->fleet.SetTargetFault("a1", R"({"hang": true})");
    LeavingCaller caller(this->fleet.Address("a0"), "/deep/x");
    ASSERT_TRUE(WaitUntil(kLimit, [&] { return this->Count("a1", "runs") == 1; }));
    fault();
    caller.Leave();
    EXPECT_TRUE(WaitUntil(limit, [&] { return this->Count("a1", "cancelled") == 1; }));
  }

  Fleet fleet;
};

TEST_F(GoneCallerTest, CancelSurvivesALinkThatFallsSilentJustBefore) {
  this->ExpectCancelledAfter(
      [this] {
        this->fleet.Network().SilenceExisting({"a0", "a1"});
      },
      kReopenedLinkLimit);
}

TEST_F(GoneCallerTest, CancelSurvivesAResetLink) {
  this->ExpectCancelledAfter(
      [this] {
        this->fleet.Network().Reset({"a0", "a1"});
      },
      kReopenedLinkLimit);
}

TEST_F(GoneCallerTest, CancelCrossesASlowLink) {
  this->ExpectCancelledAfter(
      [this] {
        this->fleet.Network().Delay({"a0", "a1"}, milliseconds(100));
      },
      kReopenedLinkLimit);
}

TEST_F(GoneCallerTest, WorkEndsWhenTheCallersNodeIsCutOff) {
  this->ExpectCancelledAfter([this] { this->fleet.Network().CutBetween({"a0"}, {"a1"}); },
                             kGoneNodeLimit);
}

TEST_F(GoneCallerTest, WorkEndsWhenTheCallersNodeHearsNothing) {
  this->ExpectCancelledAfter(
      [this] {
        this->fleet.Network().CutOneWay({"a1"}, {"a0"});
        ASSERT_TRUE(this->WaitForMetric("a0", "fireflyrun_open_links 0"));
      },
      kGoneNodeLimit);
}

TEST_F(GoneCallerTest, WorkEndsWhenTheCallersNodeIsKilled) {
  this->ExpectCancelledAfter([this] { this->fleet.NodeProcess("a0").Kill(); }, kGoneNodeLimit);
}

TEST_F(GoneCallerTest, WorkEndsWhenTheCallersNodeIsReplaced) {
  this->ExpectCancelledAfter(
      [this] {
        this->fleet.NodeProcess("a0").Kill();
        this->fleet.StartNode("a0");
      },
      kGoneNodeLimit);
}

TEST_F(GoneCallerTest, WorkEndsWhenTheCallersNodeIsFrozen) {
  this->ExpectCancelledAfter([this] { this->fleet.NodeProcess("a0").Pause(); }, kGoneNodeLimit);
  this->fleet.NodeProcess("a0").Resume();
}

TEST_F(GoneCallerTest, WorkEndsWhenTheCallersNodeDrains) {
  this->ExpectCancelledAfter([this] { this->fleet.NodeProcess("a0").Signal(SIGTERM); },
                             kReopenedLinkLimit);
}

TEST_F(GoneCallerTest, QueuedCallNeverStartsWhenTheCallersNodeIsCutOff) {
  this->fleet.SetTargetFault("a1", R"({"hang": true})");
  auto running = std::async(std::launch::async,
                            [this] { return this->fleet.Call("a2", "GET", "/deep/first"); });
  ASSERT_TRUE(WaitUntil(kLimit, [&] { return this->Count("a1", "runs") == 1; }));
  LeavingCaller queued(this->fleet.Address("a0"), "/deep/queued");
  ASSERT_TRUE(this->WaitForMetric("a1", "fireflyrun_admission_queue_length 1"));
  this->fleet.Network().CutBetween({"a0"}, {"a1"});
  queued.Leave();
  EXPECT_TRUE(HoldsFor(kGoneNodeLimit, [&] { return this->Count("a1", "runs") == 1; }));
  this->fleet.NodeProcess("a2").Kill();
  EXPECT_TRUE(WaitUntil(kGoneNodeLimit, [&] { return this->Count("a1", "cancelled") == 1; }));
  EXPECT_EQ(this->Count("a1", "runs"), 1);
}

TEST_F(GoneCallerTest, TargetThatGoesOnCallsNothingMore) {
  this->fleet.SetTargetFault("a2", R"({"slow_factor": 1000, "ignore_close": true})");
  auto call = this->CallAndLeave("/middle/x");
  ASSERT_TRUE(WaitUntil(kLimit, [&] { return this->Count("a2", "runs") == 1; }));
  call.wait();
  ASSERT_TRUE(WaitUntil(kLimit, [&] { return this->Count("a2", "completed") == 1; }));
  EXPECT_EQ(this->Count("a1", "runs"), 0);
}

TEST_F(GoneCallerTest, NothingIsRepeatedForACallerThatHasLeft) {
  constexpr int kMostRuns = 21;
  this->fleet.SetTargetFault("a1", R"({"fail": true, "slow_factor": 50, "health": "up"})");
  this->CallAndLeave("/deep/x").wait();
  const int runs = this->Count("a1", "runs");
  EXPECT_GE(runs, 2);
  ASSERT_LT(runs, kMostRuns) << "all repeats are spent, so that nothing is shown";
  EXPECT_TRUE(HoldsFor(kPatience, [&] { return this->Count("a1", "runs") <= runs + 1; }));
}

}  // namespace
}  // namespace fireflyrun::integration
