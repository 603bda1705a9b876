#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "tests/integration/fleet.h"
#include "tests/integration/wait_until.h"

namespace fireflyrun::integration {
namespace {

using nlohmann::json;

constexpr std::size_t kCallers = 40;
constexpr std::chrono::seconds kLimit{10};
const std::vector<std::string> kFlags = {"--request-id-header", "X-Request-Id", "--log-lines",
                                         "100000"};

using ValuesByRequest = std::map<std::string, std::vector<std::string>>;

std::string ValueOf(const std::string& line, const std::string& name) {
  const auto at = line.find(" " + name + "=");
  if (at == std::string::npos) return {};
  const auto begin = at + name.size() + 2;
  return line.substr(begin, line.find(' ', begin) - begin);
}

/// A fleet whose callers' nodes get more calls than the nearest targets can run.
class LoadMoveTest : public testing::Test {
 protected:
  /// Without retries, so that every call sent to a second target is a move.
  void StartFleet(std::vector<std::string> callers_nodes, std::vector<HostLayout> targets) {
    this->caller_nodes = std::move(callers_nodes);
    std::vector<HostLayout> layouts;
    for (const auto& node : this->caller_nodes) {
      layouts.push_back({node, "east", "east-a", "", 0, 0, "", kFlags});
    }
    for (auto& target : targets) {
      this->target_nodes.push_back(target.node);
      layouts.push_back(std::move(target));
    }
    this->fleet =
        std::make_unique<Fleet>(std::move(layouts), RecordsWithoutRetries("entry", 2'000));
    ASSERT_TRUE(this->fleet->WaitReady());
  }

  /// Calls without a pause until `done` holds; returns whether it did in time.
  bool LoadUntil(const std::function<bool()>& done) {
    std::atomic<bool> stopping = false;
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    for (std::size_t i = 0; i < kCallers; ++i) {
      callers.emplace_back([&, i] {
        const std::string& node = this->caller_nodes[i % this->caller_nodes.size()];
        for (int j = 0; !stopping; ++j) {
          const std::string id = "r" + std::to_string(i) + "-" + std::to_string(j);
          this->fleet->Call(node, "GET", "/entry/x",
                            {"X-Request-Id: " + id, "X-Request-Tag: " + id});
        }
      });
    }
    const bool held = WaitUntil(kLimit, done);
    stopping = true;
    for (auto& caller : callers) caller.join();
    return held;
  }

  /// The values of a field in the callers' nodes' lines that hold `part`, by request.
  ValuesByRequest FieldByRequest(const std::string& part, const std::string& field) {
    ValuesByRequest values;
    for (const auto& node : this->caller_nodes) {
      std::istringstream log(this->fleet->NodeProcess(node).Output());
      for (std::string line; std::getline(log, line);) {
        if (line.find(part) == std::string::npos) continue;
        values[ValueOf(line, "request")].push_back(ValueOf(line, field));
      }
    }
    return values;
  }

  ValuesByRequest Causes() { return this->FieldByRequest("event=moved ", "cause"); }
  ValuesByRequest Refused() {
    return this->FieldByRequest("part=caller event=refused ", "outcome");
  }
  ValuesByRequest MovedAndAnswered() {
    auto moves = this->FieldByRequest("part=caller event=answered ", "moves");
    std::erase_if(moves, [](const auto& entry) { return entry.second.front() == "0"; });
    return moves;
  }

  void CheckEachMovedOnceForLoadAndRanOnce() {
    const auto causes = this->Causes();
    EXPECT_FALSE(causes.empty());
    const std::set<std::string> of_load = {"overload", "queue-full", "admission-level"};
    for (const auto& [id, of_request] : causes) {
      EXPECT_EQ(of_request.size(), 1U) << id;
      EXPECT_TRUE(of_load.contains(of_request.front())) << of_request.front();
    }
    for (const auto& [id, retries] : this->FieldByRequest(" retries=", "retries")) {
      EXPECT_EQ(retries.front(), "0") << id;
    }
    std::map<std::string, int> arrivals;
    for (const auto& node : this->target_nodes) {
      const json runs = json::parse(this->fleet->Runs(node));
      for (const auto& run : runs["list"]) ++arrivals[run["tag"]];
    }
    for (const auto& [id, count] : arrivals) EXPECT_EQ(count, 1) << id;
    for (const auto& [id, moves] : this->MovedAndAnswered()) EXPECT_EQ(arrivals[id], 1) << id;
    for (const auto& [id, outcome] : this->Refused()) {
      EXPECT_FALSE(arrivals.contains(id)) << id << " was told " << outcome.front();
    }
  }

  std::unique_ptr<Fleet> fleet;
  std::vector<std::string> caller_nodes;
  std::vector<std::string> target_nodes;
};

TEST_F(LoadMoveTest, ACallThatATargetRefusesForLoadIsMovedOnceWithoutARetryAndRunsOnce) {
  // Two nodes fill the target of their zone, each knowing its own calls only; the other zone's
  // target has room for what is moved.
  this->StartFleet({"a0", "a3"}, {{"a1", "east", "east-a", "entry", 4, 40, "", kFlags},
                                  {"a2", "east", "east-b", "entry", 60, 40, "", kFlags}});
  EXPECT_TRUE(this->LoadUntil([this] { return !this->MovedAndAnswered().empty(); }));
  this->CheckEachMovedOnceForLoadAndRanOnce();
}

TEST_F(LoadMoveTest, WhereAllTargetsAreFullACallIsMovedOnceAndThenRefusedWithoutARun) {
  this->StartFleet({"a0"}, {{"a1", "east", "east-a", "entry", 2, 40, "", kFlags},
                            {"a2", "east", "east-a", "entry", 2, 40, "", kFlags}});
  EXPECT_TRUE(this->LoadUntil([this] {
    const auto causes = this->Causes();
    const auto refused = this->Refused();
    return std::any_of(causes.begin(), causes.end(),
                       [&](const auto& entry) { return refused.contains(entry.first); });
  }));
  this->CheckEachMovedOnceForLoadAndRanOnce();
}

}  // namespace
}  // namespace fireflyrun::integration
