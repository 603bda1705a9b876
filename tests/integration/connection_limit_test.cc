#include <gtest/gtest.h>

#include <future>
#include <nlohmann/json.hpp>

#include "tests/integration/fleet.h"
#include "tests/integration/wait_until.h"

namespace fireflyrun::integration {
namespace {

using nlohmann::json;

constexpr std::chrono::seconds kLimit{10};
constexpr std::chrono::milliseconds kHold{500};
constexpr std::chrono::milliseconds kPatience{15'000};
constexpr int kDeadlineMs = 30'000;
/// So many that the target takes all calls at once even while it is taken for new.
constexpr int kSlots = 200;
constexpr int kCallsAtOnce = 8;
constexpr int kFewConnections = 3;
constexpr int kMoreConnections = 5;

json Service(int max_connections) {
  return {{"kind", "service"},
          {"schema", 3},
          {"name", "leaf"},
          {"priority", "status"},
          {"idempotent", true},
          {"retry_allowance", "none"},
          {"routes", json::array()},
          {"deadline_ms", kDeadlineMs},
          {"max_connections", max_connections}};
}

std::string Records() {
  const json priority = {{"kind", "priority"},
                         {"schema", 1},
                         {"name", "status"},
                         {"rank", 9},
                         {"may_leave_region", false}};
  const json allowance = {{"kind", "retry_allowance"}, {"schema", 1}, {"name", "none"},
                          {"retries_per_request", 0},  {"burst", 0},  {"success_ratio", 0}};
  return json::array({priority, allowance, Service(kFewConnections)}).dump();
}

class ConnectionLimitTest : public ::testing::Test {
 protected:
  /// Ends the calls that still hang.
  void TearDown() override { this->fleet.TargetProcess("a1").Kill(); }

  /// Calls that the target never answers, each on a connection of its own.
  void StartCalls(int count) {
    HttpCall call;
    call.url = this->fleet.CallerUrl("a1") + "/leaf/x";
    call.timeout = kPatience;
    for (int i = 0; i < count; ++i) {
      this->calls.push_back(std::async(std::launch::async, [call] { return MakeCall(call); }));
    }
  }
  int Runs() const { return json::parse(this->fleet.Runs("a1"))["runs"].get<int>(); }
  /// The target is warm, so that no call has to wait longer than its node lets it.
  bool AdmitsAtOnce(int most) const {
    const std::string line = "\nfireflyrun_admission_limit " + std::to_string(most) + "\n";
    return WaitUntil(kLimit, [&] {
      return Get(this->fleet.AdminUrl("a1") + "/metrics").body.find(line) != std::string::npos;
    });
  }
  /// Calls come until so many run, as the node refuses some while none is answered, and then more.
  bool SettlesAt(int runs) {
    const bool reached = WaitUntil(kLimit, [&] {
      const bool enough = this->Runs() >= runs;
      if (!enough) this->StartCalls(1);
      return enough;
    });
    this->StartCalls(kCallsAtOnce);
    return reached && HoldsFor(kHold, [&] { return this->Runs() == runs; });
  }

  Fleet fleet{{{"a1", "east", "east-a", "leaf", kSlots, 2, ""}}, Records()};
  std::vector<std::future<HttpAnswer>> calls;
};

TEST_F(ConnectionLimitTest, TargetGetsAsManyAsItsRecordSaysAndFollowsAChange) {
  ASSERT_TRUE(this->fleet.WaitReady());
  this->fleet.SetTargetFault("a1", R"({"hang": true})");
  EXPECT_TRUE(this->AdmitsAtOnce(kFewConnections));
  EXPECT_TRUE(this->SettlesAt(kFewConnections)) << this->Runs();

  const auto file =
      this->fleet.WriteFile("more.json", json::array({Service(kMoreConnections)}).dump());
  const auto applied = this->fleet.Command({"apply", file, "--wait"});
  ASSERT_EQ(applied.status, 0) << applied.errors;
  EXPECT_TRUE(this->AdmitsAtOnce(kMoreConnections));
  EXPECT_TRUE(this->SettlesAt(kMoreConnections)) << this->Runs();
}

}  // namespace
}  // namespace fireflyrun::integration
