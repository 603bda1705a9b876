#include <gtest/gtest.h>

#include <map>
#include <nlohmann/json.hpp>
#include <thread>

#include "tests/integration/fleet.h"

namespace fireflyrun::integration {
namespace {

using nlohmann::json;

constexpr double kRatio = 0.1;
constexpr int kBurst = 2;
constexpr int kCallsOfPhase = 20;
const std::vector<std::string> kEntries = {"a0", "b0", "c0"};

json Allowance(const std::string& name, double ratio, int burst) {
  return {{"kind", "retry_allowance"}, {"schema", 1},    {"name", name},
          {"retries_per_request", 3},  {"burst", burst}, {"success_ratio", ratio}};
}

json Route(const std::string& name, const std::string& allowance, int max_attempts) {
  return {{"kind", "route"},      {"schema", 1},
          {"name", name},         {"host", name + ".example"},
          {"prefix", "/"},        {"services", json::array({{{"service", "leaf"}, {"weight", 1}}})},
          {"priority", "status"}, {"retry_allowance", allowance},
          {"idempotent", true},   {"max_attempts", max_attempts}};
}

std::string Records() {
  return json::array({{{"kind", "priority"},
                       {"schema", 1},
                       {"name", "status"},
                       {"rank", 9},
                       {"may_leave_region", false}},
                      Allowance("small", kRatio, kBurst),
                      Allowance("ample", 1, 1000),
                      {{"kind", "service"},
                       {"schema", 1},
                       {"name", "leaf"},
                       {"priority", "status"},
                       {"retry_allowance", "small"},
                       {"deadline_ms", 8000},
                       {"idempotent", true}},
                      Route("bounded", "small", 4),
                      Route("once", "ample", 1),
                      Route("twice", "ample", 2),
                      Route("thrice", "ample", 3)})
      .dump();
}

std::vector<HostLayout> Layout() {
  return {{"a0", "east", "east-a"},
          {"b0", "east", "east-a"},
          {"c0", "east", "east-a"},
          {"t1", "east", "east-a", "leaf", 50, 1, ""},
          {"t2", "east", "east-a", "leaf", 50, 1, ""}};
}

class RetryRecordsTest : public ::testing::Test {
 protected:
  static void SetUpTestSuite() {
    fleet = std::make_unique<Fleet>(Layout(), Records());
    ASSERT_TRUE(fleet->WaitReady());
  }
  static void TearDownTestSuite() { fleet.reset(); }

  static void SetFailing(bool failing) {
    for (const char* node : {"t1", "t2"}) {
      fleet->SetTargetFault(node, json{{"fail", failing}}.dump());
    }
  }

  static int Call(const std::string& node, const std::string& route, const std::string& tag) {
    return fleet->Call(node, "GET", "/x", {"Host: " + route + ".example", "X-Request-Tag: " + tag})
        .status;
  }

  /// Arrivals at the targets, by tag.
  static std::map<std::string, int> Arrivals() {
    std::map<std::string, int> arrivals;
    for (const char* node : {"t1", "t2"}) {
      const json runs = json::parse(fleet->Runs(node));
      for (const auto& run : runs["list"]) ++arrivals[run["tag"]];
    }
    return arrivals;
  }

  static std::unique_ptr<Fleet> fleet;
};

std::unique_ptr<Fleet> RetryRecordsTest::fleet;

TEST_F(RetryRecordsTest, RepeatsOfAllNodesStayWithinTheRatioAndOneBurstANode) {
  int requests = 0;
  for (const bool failing : {true, false, true}) {
    SetFailing(failing);
    std::vector<std::thread> callers;
    callers.reserve(kEntries.size());
    for (const std::string& node : kEntries) {
      callers.emplace_back([&, node] {
        for (int i = 0; i < kCallsOfPhase; ++i) {
          const int status = Call(node, "bounded", "bounded-" + node);
          EXPECT_EQ(status, failing ? 500 : 200);
        }
      });
    }
    for (auto& caller : callers) caller.join();
    requests += kCallsOfPhase * static_cast<int>(kEntries.size());
  }
  int arrivals = 0;
  for (const auto& [tag, count] : Arrivals()) {
    if (tag.starts_with("bounded-")) arrivals += count;
  }
  const int bursts = static_cast<int>(kEntries.size()) * kBurst;
  EXPECT_LE(arrivals - requests, kRatio * requests + bursts);
  EXPECT_GT(arrivals - requests, bursts) << "successes earned nothing";
}

TEST_F(RetryRecordsTest, MaxAttemptsIsTheMostTargetsThatARequestReaches) {
  SetFailing(true);
  const std::map<std::string, int> attempts = {{"once", 1}, {"twice", 2}, {"thrice", 3}};
  for (const auto& [route, most] : attempts) {
    for (int i = 0; i < 5; ++i) {
      EXPECT_EQ(Call("a0", route, route + "-" + std::to_string(i)), 500);
    }
  }
  const auto arrivals = Arrivals();
  for (const auto& [route, most] : attempts) {
    for (int i = 0; i < 5; ++i) {
      EXPECT_EQ(arrivals.at(route + "-" + std::to_string(i)), most) << route;
    }
  }
}

}  // namespace
}  // namespace fireflyrun::integration
