#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "tests/integration/continuous_load.h"
#include "tests/integration/fleet.h"
#include "tests/integration/wait_until.h"

namespace fireflyrun::integration {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;

constexpr seconds kLimit{10};
constexpr milliseconds kPatience{300};
constexpr int kLoadCalls = 400;
const std::vector<std::string> kIdFlags = {"--request-id-header", "X-Request-Id"};

std::vector<std::string> Flags(std::vector<std::string> more) {
  more.insert(more.begin(), kIdFlags.begin(), kIdFlags.end());
  return more;
}

std::vector<HostLayout> Chain(const std::vector<std::string>& flags) {
  return {{"a0", "east", "east-a", "", 0, 0, "", flags, {}},
          {"a1", "east", "east-a", "entry", 20, 2, "", flags, {}},
          {"a2", "east", "east-a", "entry", 20, 2, "", flags, {}},
          {"b1", "east", "east-b", "filings", 20, 2, "", flags, {}}};
}

/// One call through node a0, with an id of its own.
HttpAnswer CallAs(Fleet& fleet, const std::string& id, const std::string& path,
                  milliseconds timeout = kLimit) {
  HttpCall call;
  call.url = fleet.CallerUrl("a0") + path;
  call.headers = {"X-Request-Id: " + id};
  call.timeout = timeout;
  return MakeCall(call);
}

int CountLines(const std::string& log, const std::string& part) {
  int count = 0;
  for (auto at = log.find(part); at != std::string::npos; at = log.find(part, at + 1)) ++count;
  return count;
}

/// Whether the node's log gets a line that holds all of the parts.
::testing::AssertionResult Tells(Fleet& fleet, const std::string& node,
                                 const std::vector<std::string>& parts) {
  const auto told = [&] {
    std::istringstream log(fleet.NodeProcess(node).Output());
    for (std::string line; std::getline(log, line);) {
      const auto holds = [&](const std::string& part) {
        return line.find(part) != std::string::npos;
      };
      if (std::all_of(parts.begin(), parts.end(), holds)) return true;
    }
    return false;
  };
  if (WaitUntil(kLimit, told)) return ::testing::AssertionSuccess();
  return ::testing::AssertionFailure()
         << node << " has no line with " << parts.front() << " ... " << parts.back();
}

class LogLinesTest : public ::testing::Test {
 protected:
  static void SetUpTestSuite() {
    fleet = std::make_unique<Fleet>(Chain(Flags({"--log-lines", "100000"})), ChainRecords());
    ASSERT_TRUE(fleet->WaitReady());
  }
  static void TearDownTestSuite() { fleet.reset(); }

  static std::unique_ptr<Fleet> fleet;
};

std::unique_ptr<Fleet> LogLinesTest::fleet;

TEST_F(LogLinesTest, EachStepOfARequestThatGoesWell) {
  ASSERT_EQ(CallAs(*fleet, "well-1", "/entry/x").status, 200);
  EXPECT_TRUE(Tells(*fleet, "a0", {"event=routed request=well-1 ", "candidates=2", "tier=zone"}));
  EXPECT_TRUE(Tells(*fleet, "a0", {"event=sent request=well-1 ", "target=a", "attempt=1"}));
  EXPECT_TRUE(Tells(*fleet, "a0", {"event=attempt-ended request=well-1 ", "target_status=200"}));
  EXPECT_TRUE(Tells(*fleet, "a0", {"event=answered request=well-1 ", "status=200", "bytes="}));
  const std::string log = fleet->NodeProcess("a0").Output();
  const auto sent = log.find("event=sent request=well-1 ");
  const std::string target = log.substr(log.find(" target=", sent) + 8, 2);
  for (const std::string event : {"offered", "admitted", "answered"}) {
    EXPECT_TRUE(Tells(*fleet, target, {"part=target event=" + event + " request=well-1 "}));
  }
}

TEST_F(LogLinesTest, RefusalsNameTheirInputs) {
  EXPECT_EQ(CallAs(*fleet, "nowhere-1", "/unheard-of/x").status, 404);
  EXPECT_TRUE(Tells(*fleet, "a0",
                    {"event=refused request=nowhere-1 ", "cause=unknown-service", "status=404",
                     "revision=", "revision_age_ms="}));
  EXPECT_EQ(CallAs(*fleet, "keyless-1", "/filings/x").status, 400);
  EXPECT_TRUE(Tells(*fleet, "a0", {"event=refused request=keyless-1 ", "cause=bad-request"}));
  EXPECT_EQ(CallAs(*fleet, "without-1", "/middle/x").status, 503);
  EXPECT_TRUE(
      Tells(*fleet, "a0",
            {"event=refused request=without-1 ", "cause=no-target", "candidates=0", "attempts=0"}));
}

TEST_F(LogLinesTest, RetriesAndWhyTheyEnd) {
  for (const char* node : {"a1", "a2"}) fleet->SetTargetFault(node, R"({"fail": true})");
  EXPECT_EQ(CallAs(*fleet, "failing-1", "/entry/x").status, 500);
  for (const char* node : {"a1", "a2"}) fleet->SetTargetFault(node, R"({"fail": false})");
  EXPECT_TRUE(Tells(*fleet, "a0", {"event=retried request=failing-1 ", "budget_left="}));
  EXPECT_TRUE(Tells(*fleet, "a0", {"event=not-repeated request=failing-1 ", "why="}));
  EXPECT_TRUE(Tells(
      *fleet, "a0",
      {"event=failed request=failing-1 ", "cause=target-status", "status=500", "not_repeated="}));
}

TEST_F(LogLinesTest, OutliersOutAndIn) {
  fleet->SetTargetFault("a1", R"({"fail": true})");
  const auto told = [&](const std::string& event) {
    return WaitUntil(kLimit, [&] {
      CallAs(*fleet, "outlier", "/entry/x");
      return fleet->NodeProcess("a0").Output().find(event) != std::string::npos;
    });
  };
  EXPECT_TRUE(told("event=outlier-out target=a1 failures_in_row="));
  fleet->SetTargetFault("a1", R"({"fail": false})");
  EXPECT_TRUE(told("event=outlier-in target=a1 "));
}

TEST_F(LogLinesTest, CallerThatLeaves) {
  for (const char* node : {"a1", "a2"}) fleet->SetTargetFault(node, R"({"hang": true})");
  EXPECT_EQ(CallAs(*fleet, "gone-1", "/entry/x", kPatience).status, 0);
  EXPECT_TRUE(Tells(*fleet, "a0",
                    {"event=cancelled request=gone-1 ", "cause=caller-gone", "under_way_ms="}));
  for (const char* node : {"a1", "a2"}) fleet->SetTargetFault(node, R"({"hang": false})");
}

TEST_F(LogLinesTest, RequestThatIsNoHttp) {
  HttpCall call;
  call.url = fleet->CallerUrl("a0") + "/entry/x";
  call.headers = {"Content-Length: none"};
  MakeCall(call);
  EXPECT_TRUE(Tells(*fleet, "a0", {"event=refused request=none ", "cause=malformed-request"}));
}

TEST_F(LogLinesTest, WhatANodeBelieves) {
  EXPECT_TRUE(Tells(*fleet, "a0", {"event=started"}));
  EXPECT_TRUE(Tells(*fleet, "a0", {"event=in-force", "revision="}));
  EXPECT_TRUE(Tells(*fleet, "a0", {"event=member-seen member=b1 ", "incarnation="}));
  fleet->SetStoreFault(R"({"mode": "down"})");
  EXPECT_TRUE(Tells(*fleet, "a0", {"event=store-lost", "cause=", "heard_ms_ago="}));
  fleet->SetStoreFault(R"({"mode": "ok"})");
  EXPECT_TRUE(Tells(*fleet, "a0", {"event=store-regained"}));
  fleet->NodeProcess("b1").Pause();
  EXPECT_TRUE(Tells(*fleet, "a0", {"event=member-lost member=b1 "}));
  fleet->NodeProcess("b1").Resume();
  EXPECT_TRUE(Tells(*fleet, "a0", {"event=member-regained member=b1 "}));
  fleet->NodeProcess("a2").Signal(SIGTERM);
  EXPECT_TRUE(Tells(*fleet, "a0", {"event=member-drains member=a2 "}));
  EXPECT_TRUE(Tells(*fleet, "a0", {"event=member-left member=a2 "}));
  EXPECT_TRUE(Tells(*fleet, "a2", {"event=stopping"}));
  EXPECT_TRUE(Tells(*fleet, "a2", {"event=ended"}));
}

TEST_F(LogLinesTest, MetricsTellWhatTheLinesTell) {
  EXPECT_EQ(CallAs(*fleet, "counted-1", "/middle/x").status, 503);
  const std::string metrics = Get(fleet->AdminUrl("a0") + "/metrics").body;
  for (const char* sample : {"fireflyrun_members_by_state{state=\"reachable\"} ",
                             "fireflyrun_store_calls_total{call=\"list\",result=\"ok\"} ",
                             "fireflyrun_records_age_seconds ", "fireflyrun_retry_budget_left ",
                             "fireflyrun_open_connections ",
                             "fireflyrun_log_lines_left_out_total{urgency=\"failure\"} 0",
                             "process_resident_memory_bytes "}) {
    EXPECT_NE(metrics.find(sample), std::string::npos) << sample;
  }
  EXPECT_NE(metrics.find("reason=\"no-target\""), std::string::npos);
  EXPECT_EQ(metrics.find("records_age_seconds -1"), std::string::npos);
}

TEST(OverloadLinesTest, LevelAndRefusalsOfAnOverloadedTarget) {
  Fleet fleet({{"a0", "east", "east-a", "", 0, 0, "", kIdFlags, {}},
               {"a1", "east", "east-a", "entry", 2, 50, "", kIdFlags, {}}},
              ChainRecords());
  ASSERT_TRUE(fleet.WaitReady());
  ContinuousLoad::Options options;
  options.urls = {fleet.CallerUrl("a0") + "/entry/x"};
  options.threads_per_url = 40;
  ContinuousLoad load(options);
  EXPECT_TRUE(Tells(fleet, "a1", {"event=level-changed from=open to=9:", "queue=", "limit="}));
  EXPECT_TRUE(Tells(fleet, "a1", {"part=target event=refused ", "cause=overload", "slots=2"}));
  EXPECT_TRUE(Tells(fleet, "a0", {"part=caller event=refused ", "status=503", "admission_level="}));
  load.Stop();
}

TEST(MovedLinesTest, CallsToANodeThatIsGoneMove) {
  Fleet fleet(Chain(Flags({"--log-lines", "100000"})), ChainRecords());
  ASSERT_TRUE(fleet.WaitReady());
  CallAs(fleet, "before", "/entry/x");
  fleet.NodeProcess("a1").Kill();
  EXPECT_TRUE(WaitUntil(kLimit, [&] {
    EXPECT_EQ(CallAs(fleet, "moved", "/entry/x").status, 200);
    return fleet.NodeProcess("a0").Output().find("event=moved request=moved ") != std::string::npos;
  }));
  EXPECT_TRUE(Tells(fleet, "a0", {"event=moved request=moved ", "from=a1", "cause=unreachable"}));
}

/// Times of calls one after another, shortest first.
std::vector<Clock::duration> TimesOfCalls(Fleet& fleet) {
  std::vector<Clock::duration> times;
  for (int i = 0; i < kLoadCalls; ++i) {
    const auto start = Clock::now();
    EXPECT_EQ(CallAs(fleet, "load-" + std::to_string(i), "/entry/x").status, 200);
    times.push_back(Clock::now() - start);
  }
  std::sort(times.begin(), times.end());
  return times;
}

TEST(BlockedLogTest, OutputThatNobodyReadsDelaysNoRequest) {
  FleetOptions options;
  options.unread_output = true;
  Fleet fleet(Chain(Flags({"--log-lines", "100000"})), ChainRecords(), options);
  ASSERT_TRUE(fleet.WaitReady());
  const auto times = TimesOfCalls(fleet);
  EXPECT_LT(times[kLoadCalls / 2], milliseconds(50));
  EXPECT_LT(times.back(), milliseconds(1000));
  // So much was logged that the pipe and the queue ran over.
  const std::string metrics = Get(fleet.AdminUrl("a0") + "/metrics").body;
  const auto at = metrics.find("log_lines_left_out_total{urgency=\"success\"} ");
  ASSERT_NE(at, std::string::npos);
  EXPECT_GT(std::stod(metrics.substr(metrics.find(' ', at))), 0);
}

TEST(LogVolumeTest, LinesOfASecondAreBoundedAndFailuresGoFirst) {
  constexpr int kBound = 20;
  Fleet fleet(Chain(Flags({"--log-lines", std::to_string(kBound)})), ChainRecords());
  ASSERT_TRUE(fleet.WaitReady());
  const auto end = Clock::now() + seconds(3);
  int failures = 0;
  for (int i = 0; Clock::now() < end; ++i) {
    CallAs(fleet, "good-" + std::to_string(i), "/entry/x");
    if (i % 10 == 0) CallAs(fleet, "bad-" + std::to_string(failures++), "/unheard-of/x");
  }
  ASSERT_TRUE(Tells(fleet, "a0", {"event=left-out", "success="}));
  const std::string log = fleet.NodeProcess("a0").Output();
  std::map<std::string, int> lines_of_second;
  std::istringstream lines(log);
  for (std::string line; std::getline(lines, line);) ++lines_of_second[line.substr(0, 22)];
  int most = 0;
  for (const auto& [second, count] : lines_of_second) most = std::max(most, count);
  // Seconds of the bound and of the clock differ, so two of its seconds can touch one of the clock.
  EXPECT_LE(most, 2 * kBound);
  EXPECT_LE(CountLines(log, "\n"), kBound * static_cast<int>(lines_of_second.size() + 1));
  const int failures_told = CountLines(log, "event=refused request=bad-");
  const int steps_told = CountLines(log, "request=good-");
  EXPECT_GT(failures_told, 0);
  EXPECT_GT(failures_told, steps_told / 2) << steps_told;
}

TEST(ExplainTest, EveryFailedRequestOfARunWithFaultsHasACause) {
  Fleet fleet(Chain(Flags({"--log-level", "info", "--log-lines", "100000"})), ChainRecords());
  ASSERT_TRUE(fleet.WaitReady());
  std::vector<std::string> failed;
  const auto call = [&](const std::string& id, const std::string& path, milliseconds timeout) {
    const int status = CallAs(fleet, id, path, timeout).status;
    if (status < 200 || status >= 400) failed.push_back(id);
  };
  const auto call_all = [&](const std::string& phase) {
    for (int i = 0; i < 6; ++i) call(phase + "-" + std::to_string(i), "/entry/x", kPatience);
    call(phase + "-404", "/unheard-of/x", kPatience);
    call(phase + "-none", "/middle/x", kPatience);
  };
  call_all("calm");
  for (const char* node : {"a1", "a2"}) fleet.SetTargetFault(node, R"({"fail": true})");
  call_all("failing");
  for (const char* node : {"a1", "a2"})
    fleet.SetTargetFault(node, R"({"fail": false, "hang": true})");
  call_all("hanging");
  fleet.TargetProcess("a1").Kill();
  call_all("dead");
  fleet.NodeProcess("a2").Pause();
  call_all("silent");
  fleet.NodeProcess("a2").Resume();
  fleet.NodeProcess("a1").Kill();
  call_all("killed");
  ASSERT_GT(failed.size(), 20U);
  std::vector<std::string> logs;
  for (const char* node : {"a0", "a1", "a2", "b1"}) {
    logs.push_back(fleet.NodeProcess(node).OutputPath());
  }
  for (const auto& id : failed) {
    ASSERT_TRUE(Tells(fleet, "a0", {"request=" + id + " ", "cause="}));
    std::vector<std::string> command = {"explain", id};
    command.insert(command.end(), logs.begin(), logs.end());
    const auto explained = fleet.Command(command);
    EXPECT_EQ(explained.status, 0) << id << '\n' << explained.output << explained.errors;
    EXPECT_NE(explained.output.find("\ncause: "), std::string::npos) << id;
    EXPECT_EQ(explained.output.find("unexplained"), std::string::npos) << explained.output;
  }
}

}  // namespace
}  // namespace fireflyrun::integration
