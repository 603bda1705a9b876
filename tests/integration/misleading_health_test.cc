#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "tests/integration/fleet.h"
#include "tests/integration/wait_until.h"

namespace fireflyrun::integration {
namespace {

using nlohmann::json;
using std::chrono::seconds;

constexpr seconds kLimit{20};
constexpr int kSettled = 10;  ///< Calls in a row that are answered.
constexpr int kCalls = 100;
constexpr int kMinAnswered = 90;

class MisleadingHealthTest : public ::testing::Test {
 protected:
  MisleadingHealthTest()
      : fleet({{"a0", "east", "east-a", "", 0, 0, ""},
               {"a1", "east", "east-a", "deep", 20, 2, "", NotRunFlag()},
               {"a2", "east", "east-a", "deep", 20, 2, "", NotRunFlag()}},
              ChainRecords()) {}

  static std::vector<std::string> NotRunFlag() { return {"--not-run-header", "X-Not-Run"}; }

  void SetUp() override { ASSERT_TRUE(this->fleet.WaitReady()); }

  bool Answered() {
    return this->fleet.Call("a0", "GET", "/deep/x", {"Firefly-Deadline-Ms: 500"}).status == 200;
  }
  int CountAnswered() {
    int answered = 0;
    for (int i = 0; i < kCalls; ++i) answered += this->Answered() ? 1 : 0;
    return answered;
  }
  bool Settles() {
    int in_a_row = 0;
    return WaitUntil(kLimit, [this, &in_a_row] {
      in_a_row = this->Answered() ? in_a_row + 1 : 0;
      return in_a_row >= kSettled;
    });
  }
  int RunsOf(const std::string& node) const {
    return json::parse(this->fleet.Runs(node))["runs"].get<int>();
  }

  Fleet fleet;
};

TEST_F(MisleadingHealthTest, CallsLeaveATargetThatHangsAndSaysItIsUp) {
  this->fleet.SetTargetFault("a1", R"({"hang": true, "health": "up"})");
  EXPECT_TRUE(this->Settles());
  const int before = this->RunsOf("a1");
  EXPECT_GE(this->CountAnswered(), kMinAnswered);
  EXPECT_LE(this->RunsOf("a1"), before + kCalls - kMinAnswered);
}

TEST_F(MisleadingHealthTest, CallsLeaveATargetThatFailsAndSaysItIsUp) {
  this->fleet.SetTargetFault("a1", R"({"fail": true, "health": "up"})");
  EXPECT_TRUE(this->Settles());
  const int before = this->RunsOf("a1");
  EXPECT_GE(this->CountAnswered(), kMinAnswered);
  EXPECT_LE(this->RunsOf("a1"), before + kCalls - kMinAnswered);
}

TEST_F(MisleadingHealthTest, CallsLeaveATargetThatRejectsPartOfThem) {
  this->fleet.SetTargetFault("a1", R"({"reject_every": 2, "health": "up"})");
  this->CountAnswered();
  const int before = this->RunsOf("a1");
  EXPECT_GE(this->CountAnswered(), kMinAnswered);
  EXPECT_LE(this->RunsOf("a1"), before + kCalls - kMinAnswered);
}

TEST_F(MisleadingHealthTest, TargetThatWorksAndSaysItIsDownStillServes) {
  this->fleet.SetTargetFault("a1", R"({"health": "down"})");
  this->fleet.TargetProcess("a2").Kill();
  EXPECT_TRUE(this->Settles());
  const int before = this->RunsOf("a1");
  EXPECT_EQ(this->CountAnswered(), kCalls);
  EXPECT_GE(this->RunsOf("a1"), before + kCalls);
}

}  // namespace
}  // namespace fireflyrun::integration
