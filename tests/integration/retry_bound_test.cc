#include <gtest/gtest.h>

#include <map>
#include <nlohmann/json.hpp>
#include <thread>

#include "tests/integration/fleet.h"

namespace fireflyrun::integration {
namespace {

using nlohmann::json;

constexpr int kRetriesPerRequest = 3;
constexpr int kCallers = 5;
constexpr int kCallsPerCaller = 10;
constexpr int kServices = 5;

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

}  // namespace
}  // namespace fireflyrun::integration
