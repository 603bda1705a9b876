#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "tests/integration/fleet.h"
#include "tests/integration/wait_until.h"

namespace fireflyrun::integration {
namespace {

using nlohmann::json;

constexpr std::chrono::seconds kLogLimit{5};

std::vector<HostLayout> ChainOfThree() {
  return {{"a1", "east", "east-a", "entry", 20, 2, "middle:/part"},
          {"a2", "east", "east-a", "middle", 20, 2, "deep:/leaf"},
          {"b1", "east", "east-b", "deep", 20, 2, ""},
          {"b2", "east", "east-b", "filings", 20, 2, ""}};
}

/// One fleet serves all tests of this file, which leave it as they found it.
class WholePathTest : public ::testing::Test {
 protected:
  static void SetUpTestSuite() {
    fleet = std::make_unique<Fleet>(ChainOfThree(), ChainRecords());
    ASSERT_TRUE(fleet->WaitReady());
  }
  static void TearDownTestSuite() { fleet.reset(); }

  static std::unique_ptr<Fleet> fleet;
};

std::unique_ptr<Fleet> WholePathTest::fleet;

TEST_F(WholePathTest, CallerGetsTheWholeAnswerOfAChainOfThreeServices) {
  const auto answer = fleet->Call("b2", "GET", "/entry/days?d=1", {"X-Request-Tag: tag-1"});
  ASSERT_EQ(answer.status, 200) << answer.body << answer.error;
  const json body = json::parse(answer.body);
  EXPECT_EQ(body["echo"], "tag-1");
  EXPECT_EQ(body["service"], "entry");
  ASSERT_EQ(body["children"].size(), 1U);
  EXPECT_EQ(body["children"][0]["service"], "middle");
  EXPECT_EQ(body["children"][0]["children"][0]["service"], "deep");
}

TEST_F(WholePathTest, UnknownServiceIsNotFoundAndNotRun) {
  const auto answer = fleet->Call("a1", "GET", "/nowhere/x");
  EXPECT_EQ(answer.status, 404);
  EXPECT_EQ(answer.Header("firefly-outcome"), "not-run");
  EXPECT_EQ(answer.Header("content-type"), "application/problem+json");
}

TEST_F(WholePathTest, OversizedBodyIsRefused) {
  const auto answer =
      fleet->Call("a1", "POST", "/entry/x", {}, std::string(std::size_t{9} << 20, 'x'));
  EXPECT_EQ(answer.status, 413);
}

TEST_F(WholePathTest, PastTheDeadlineTheAnswerSaysWhetherItRan) {
  const auto answer = fleet->Call("a1", "GET", "/deep/x", {"Firefly-Deadline-Ms: 0"});
  EXPECT_EQ(answer.status, 504);
  EXPECT_EQ(answer.Header("firefly-outcome"), "not-run");
}

TEST_F(WholePathTest, NonIdempotentCallNeedsAKey) {
  const auto answer = fleet->Call("a1", "POST", "/filings/orders", {}, "{}");
  EXPECT_EQ(answer.status, 400);
  EXPECT_EQ(answer.Header("firefly-outcome"), "not-run");
}

TEST_F(WholePathTest, SameKeyThroughTwoNodesRunsOnce) {
  const std::vector<std::string> headers{"Idempotency-Key: order-77"};
  const auto first = fleet->Call("a1", "POST", "/filings/orders", headers, "{}");
  const auto second = fleet->Call("b1", "POST", "/filings/orders", headers, "{}");
  EXPECT_EQ(first.status, 200) << first.body;
  EXPECT_EQ(second.status, 200) << second.body;
  EXPECT_EQ(first.body, second.body);
  EXPECT_EQ(fleet->RunsOfKey("order-77"), 1);
}

TEST_F(WholePathTest, TicketOfOneNodeRunsOnceThroughAnother) {
  const auto issued = fleet->Call("a1", "POST", "/tickets/filings");
  ASSERT_EQ(issued.status, 201) << issued.body;
  const std::string ticket = json::parse(issued.body)["ticket"];
  const std::vector<std::string> headers{"Idempotency-Key: " + ticket};
  EXPECT_EQ(fleet->Call("a2", "POST", "/filings/orders", headers, "{}").status, 200);
  EXPECT_EQ(fleet->Call("b1", "POST", "/filings/orders", headers, "{}").status, 200);
  EXPECT_EQ(fleet->RunsOfKey(ticket), 1);
}

TEST_F(WholePathTest, MetricsNameClassesAndTenants) {
  fleet->Call("a1", "GET", "/deep/x");
  const auto metrics = Get(fleet->AdminUrl("a1") + "/metrics");
  EXPECT_EQ(metrics.status, 200);
  EXPECT_NE(metrics.body.find("class=\"status\""), std::string::npos) << metrics.body;
  EXPECT_NE(metrics.body.find("tenant=\"127.0.0.1\""), std::string::npos) << metrics.body;
}

TEST_F(WholePathTest, ApplyWaitReportsTheChangeInForceByZone) {
  const auto file = fleet->WriteFile(
      "more.json", R"({"kind":"retry_allowance","schema":1,"name":"none","retries_per_request":0,)"
                   R"("success_ratio":0,"burst":0})");
  const auto applied = fleet->Command({"apply", file, "--wait"});
  EXPECT_EQ(applied.status, 0) << applied.output << applied.errors;
  EXPECT_NE(applied.output.find("east-b"), std::string::npos) << applied.output;
}

TEST_F(WholePathTest, RequestIsFollowedAcrossNodesByItsRootId) {
  const auto answer = fleet->Call("a1", "GET", "/entry/days", {"X-Request-Tag: traced"});
  ASSERT_EQ(answer.status, 200);
  const std::string ended = "part=caller event=answered request=";
  ASSERT_TRUE(WaitUntil(kLogLimit, [&] {
    return fleet->NodeProcess("a1").Output().find(ended) != std::string::npos;
  }));
  const std::string log = fleet->NodeProcess("a1").Output();
  const std::string root = log.substr(log.rfind(ended) + ended.size(), 32);
  EXPECT_TRUE(WaitUntil(kLogLimit, [&] {
    return fleet->NodeProcess("b1").Output().find("request=" + root) != std::string::npos;
  }));
}

}  // namespace
}  // namespace fireflyrun::integration
