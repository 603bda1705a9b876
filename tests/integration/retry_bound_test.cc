#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "tests/integration/fleet.h"
#include "tests/integration/wait_until.h"

namespace fireflyrun::integration {
namespace {

using nlohmann::json;

constexpr int kRetriesPerRequest = 3;
constexpr int kCallers = 5;
constexpr int kCallsPerCaller = 10;
constexpr int kServices = 5;
constexpr std::chrono::seconds kLimit{10};

std::string ServiceName(int number) { return "s" + std::to_string(number); }

/// Five services, each calling the next; a retry budget so large that only the allowance binds.
std::string Records() {
  json records = json::array({{{"kind", "priority"},
                               {"schema", 1},
                               {"name", "status"},
                               {"rank", 9},
                               {"may_leave_region", false}},
                              {{"kind", "retry_allowance"},
                               {"schema", 1},
                               {"name", "standard"},
                               {"retries_per_request", kRetriesPerRequest},
                               {"success_ratio", 1.0},
                               {"burst", 1000}}});
  for (int i = 0; i < kServices; ++i) {
    records.push_back({{"kind", "service"},
                       {"schema", 1},
                       {"name", ServiceName(i)},
                       {"priority", "status"},
                       {"retry_allowance", "standard"},
                       {"deadline_ms", 8000},
                       {"idempotent", true}});
  }
  return records.dump();
}

std::vector<HostLayout> Layout() {
  std::vector<HostLayout> hosts;
  for (int i = 0; i < kServices; ++i) {
    const bool last = i == kServices - 1;
    hosts.push_back({"n" + std::to_string(i), "east", "east-a", ServiceName(i), 50, 1,
                     last ? "" : ServiceName(i + 1) + ":/x"});
  }
  return hosts;
}

TEST(RetryBoundTest, DeepestServiceOfAFailingChainRunsNoMoreThanTheAllowanceOfTheRoot) {
  Fleet fleet(Layout(), Records());
  ASSERT_TRUE(fleet.WaitReady());
  fleet.SetTargetFault("n4", R"({"fail": true})");
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&fleet, i] {
      for (int j = 0; j < kCallsPerCaller; ++j) {
        const auto tag = "root" + std::to_string(i) + "-" + std::to_string(j);
        const auto answer = fleet.Call("n0", "GET", "/s0/x", {"X-Request-Tag: " + tag});
        EXPECT_GE(answer.status, 500) << answer.body;
      }
    });
  }
  for (auto& caller : callers) caller.join();
  std::map<std::string, int> runs_by_root;
  int runs = 0;
  const json log = json::parse(fleet.Runs("n4"));
  for (const auto& run : log["list"]) {
    const std::string tag = run["tag"];
    ++runs_by_root[tag.substr(0, tag.find('/'))];
    ++runs;
  }
  for (const auto& [root, count] : runs_by_root) {
    EXPECT_LE(count, 1 + kRetriesPerRequest) << root;
  }
  EXPECT_GT(runs, static_cast<int>(runs_by_root.size())) << "nothing was retried";
  RecordProperty("roots", static_cast<int>(runs_by_root.size()));
  RecordProperty("runs", runs);
}

/// As often as the text is found in what the node wrote.
int CountLines(Fleet& fleet, const std::string& node, const std::vector<std::string>& parts) {
  std::istringstream log(fleet.NodeProcess(node).Output());
  int count = 0;
  for (std::string line; std::getline(log, line);) {
    const bool has_all = std::all_of(parts.begin(), parts.end(), [&line](const std::string& part) {
      return line.find(part) != std::string::npos;
    });
    if (has_all) ++count;
  }
  return count;
}

/// A repeat would make the same call with the same key.
TEST(RetryBoundTest, ARequestIsNotRepeatedForACallBelowThatWasShed) {
  constexpr int kManyCallers = 40;
  const std::vector<std::string> flags = {"--log-lines", "100000"};
  Fleet fleet({{"n0", "east", "east-a", "s0", 50, 1, "s1:/x", flags},
               {"n1", "east", "east-a", "s1", 50, 1, "s2:/x", flags},
               {"n2", "east", "east-a", "s2", 1, 40, "", flags}},
              Records());
  ASSERT_TRUE(fleet.WaitReady());
  std::atomic<bool> stopping = false;
  std::vector<std::thread> callers;
  callers.reserve(kManyCallers);
  for (int i = 0; i < kManyCallers; ++i) {
    callers.emplace_back([&] {
      while (!stopping) fleet.Call("n0", "GET", "/s0/x");
    });
  }
  const bool shed = WaitUntil(kLimit, [&] {
    return CountLines(fleet, "n0", {"part=caller event=failed ", " cause=downstream-failed "}) > 0;
  });
  stopping = true;
  for (auto& caller : callers) caller.join();
  EXPECT_TRUE(shed);
  EXPECT_EQ(CountLines(fleet, "n0", {" event=retried ", " cause=downstream-failed "}), 0);
  EXPECT_EQ(CountLines(fleet, "n1", {" event=retried ", " cause=downstream-failed "}), 0);
}

}  // namespace
}  // namespace fireflyrun::integration
