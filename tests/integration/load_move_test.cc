#include <gtest/gtest.h>

#include <atomic>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <thread>

#include "tests/integration/fleet.h"
#include "tests/integration/wait_until.h"

namespace fireflyrun::integration {
namespace {

using nlohmann::json;

constexpr int kCallers = 40;
constexpr std::chrono::seconds kLimit{10};
const std::vector<std::string> kFlags = {"--request-id-header", "X-Request-Id", "--log-lines",
                                         "100000"};

/// Without retries, so that every call sent to a second target is a move.
std::string Records() {
  return R"([
    {"kind": "priority", "schema": 1, "name": "status", "rank": 9, "may_leave_region": false},
    {"kind": "retry_allowance", "schema": 1, "name": "no", "retries_per_request": 0,
     "success_ratio": 0, "burst": 0},
    {"kind": "service", "schema": 1, "name": "entry", "priority": "status",
     "retry_allowance": "no", "deadline_ms": 2000, "idempotent": true}
  ])";
}

/// The values of a field in the node's lines that hold `part`, by request.
std::map<std::string, std::vector<std::string>> FieldByRequest(Fleet& fleet,
                                                               const std::string& part,
                                                               const std::string& field) {
  std::map<std::string, std::vector<std::string>> values;
  const auto value_of = [](const std::string& line, const std::string& name) {
    const auto at = line.find(" " + name + "=");
    if (at == std::string::npos) return std::string();
    const auto begin = at + name.size() + 2;
    return line.substr(begin, line.find(' ', begin) - begin);
  };
  std::istringstream log(fleet.NodeProcess("a0").Output());
  for (std::string line; std::getline(log, line);) {
    if (line.find(part) == std::string::npos) continue;
    values[value_of(line, "request")].push_back(value_of(line, field));
  }
  return values;
}

TEST(LoadMoveTest, ACallThatATargetRefusesForLoadIsMovedOnceWithoutARetryAndRunsOnce) {
  Fleet fleet({{"a0", "east", "east-a", "", 0, 0, "", kFlags},
               {"a1", "east", "east-a", "entry", 2, 40, "", kFlags},
               {"a2", "east", "east-a", "entry", 2, 40, "", kFlags}},
              Records());
  ASSERT_TRUE(fleet.WaitReady());
  std::atomic<bool> stopping = false;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      for (int j = 0; !stopping; ++j) {
        const std::string id = "r" + std::to_string(i) + "-" + std::to_string(j);
        fleet.Call("a0", "GET", "/entry/x", {"X-Request-Id: " + id, "X-Request-Tag: " + id});
      }
    });
  }
  std::map<std::string, std::vector<std::string>> answered;
  const auto moved_and_answered = [&] {
    for (const auto& [id, moves] : FieldByRequest(fleet, "part=caller event=answered ", "moves")) {
      if (moves.front() != "0") answered[id] = moves;
    }
    return !answered.empty();
  };
  EXPECT_TRUE(WaitUntil(kLimit, moved_and_answered));
  stopping = true;
  for (auto& caller : callers) caller.join();

  const auto causes = FieldByRequest(fleet, "event=moved ", "cause");
  EXPECT_FALSE(causes.empty());
  const std::set<std::string> of_load = {"overload", "queue-full", "admission-level"};
  for (const auto& [id, of_request] : causes) {
    EXPECT_EQ(of_request.size(), 1U) << id;
    EXPECT_TRUE(of_load.contains(of_request.front())) << of_request.front();
  }
  for (const auto& [id, retries] : FieldByRequest(fleet, " retries=", "retries")) {
    EXPECT_EQ(retries.front(), "0") << id;
  }
  std::map<std::string, int> arrivals;
  for (const char* node : {"a1", "a2"}) {
    const json runs = json::parse(fleet.Runs(node));
    for (const auto& run : runs["list"]) ++arrivals[run["tag"]];
  }
  for (const auto& [id, count] : arrivals) EXPECT_EQ(count, 1) << id;
  for (const auto& [id, moves] : answered) EXPECT_EQ(arrivals[id], 1) << id;
  for (const auto& [id, outcome] : FieldByRequest(fleet, "part=caller event=refused ", "outcome")) {
    EXPECT_FALSE(arrivals.contains(id)) << id << " was told " << outcome.front();
  }
}

}  // namespace
}  // namespace fireflyrun::integration
