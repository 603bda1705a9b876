#include <gtest/gtest.h>

#include <future>
#include <nlohmann/json.hpp>

#include "store/base64.h"
#include "tests/integration/fleet.h"
#include "tests/integration/revision_monitor.h"
#include "tests/integration/wait_until.h"

namespace fireflyrun::integration {
namespace {

using nlohmann::json;

/// A change is in force on every reachable node within this time.
constexpr std::chrono::seconds kAnswerLimit{10};
constexpr std::chrono::milliseconds kInForceLimit{5'000};
constexpr std::chrono::milliseconds kStartLimit{20'000};
const std::vector<std::string> kNodes{"a1", "a2", "b1", "b2"};

std::vector<HostLayout> TwoZones() {
  return {{"a1", "east", "east-a", "entry", 20, 2, ""},
          {"a2", "east", "east-a", "middle", 20, 2, ""},
          {"b1", "east", "east-b", "deep", 20, 2, ""},
          {"b2", "east", "east-b", "entry", 20, 2, ""}};
}

std::string Allowance(const std::string& name, int retries) {
  return R"({"kind": "retry_allowance", "schema": 1, "name": ")" + name +
         R"(", "success_ratio": 0.1, "burst": 1, "retries_per_request": )" +
         std::to_string(retries) + "}";
}

std::string Service(const std::string& name, int schema, const std::string& more = "") {
  return R"({"kind": "service", "schema": )" + std::to_string(schema) + R"(, "name": ")" + name +
         R"(", "priority": "status", "retry_allowance": "standard", "deadline_ms": 4000,)" +
         R"("idempotent": true)" + more + "}";
}

/// One fleet serves all tests of this file; while it does, its nodes' revisions are watched.
class ConfigurationTest : public ::testing::Test {
 protected:
  static void SetUpTestSuite() {
    fleet = std::make_unique<Fleet>(TwoZones(), ChainRecords());
    std::map<std::string, std::string> urls;
    for (const auto& node : kNodes) urls[node] = fleet->AdminUrl(node);
    monitor = std::make_unique<RevisionMonitor>(urls);
    ASSERT_TRUE(fleet->WaitReady());
  }
  static void TearDownTestSuite() {
    monitor.reset();
    fleet.reset();
  }

  void SetUp() override { ASSERT_TRUE(fleet->WaitReady()); }

  void TearDown() override {
    fleet->SetStoreFault(R"({"mode": "ok"})");
    EXPECT_TRUE(WaitUntil(kAnswerLimit, [] { return monitor->Answers() > 0; }));
    EXPECT_EQ(monitor->Reversions(), "");
  }

  static Fleet::CommandResult Apply(const std::string& records) {
    static std::atomic<int> files = 0;
    const auto name = "change" + std::to_string(files++) + ".json";
    return fleet->Command({"apply", fleet->WriteFile(name, records)});
  }

  static std::int64_t StoreRevision() {
    const auto got = fleet->Command({"get"});
    return std::stoll(got.output.substr(got.output.find("revision ") + 9));
  }

  /// The body of a record as a node has it in force, or null.
  static json RecordOn(const std::string& node, const std::string& key) {
    const auto document = json::parse(Get(fleet->AdminUrl(node) + "/records").body, nullptr, false);
    if (!document.is_object()) return nullptr;
    for (const auto& record : document["records"]) {
      if (record["key"] == key) return record;
    }
    return nullptr;
  }

  /// Every node has the allowance with so many retries.
  static bool InForce(const std::string& name, int retries) {
    return std::all_of(kNodes.begin(), kNodes.end(), [&](const std::string& node) {
      const json record = RecordOn(node, "retry_allowance/" + name + "/v1");
      return record.is_object() && record["body"]["retries_per_request"] == retries;
    });
  }

  static bool RetiredEverywhere(const std::string& key) {
    return std::all_of(kNodes.begin(), kNodes.end(), [&](const std::string& node) {
      const json record = RecordOn(node, key);
      return record.is_object() && record["retired"] == true;
    });
  }

  static void RestartWithoutStore(const std::string& node) {
    fleet->SetStoreFault(R"({"mode": "down"})");
    fleet->NodeProcess(node).Kill();
    fleet->StartNode(node);
    ASSERT_TRUE(WaitUntil(kStartLimit, [&] {
      return Get(fleet->AdminUrl(node) + "/health").status == 200;
    })) << fleet->NodeProcess(node).Output();
  }

  static std::unique_ptr<Fleet> fleet;
  static std::unique_ptr<RevisionMonitor> monitor;
};

std::unique_ptr<Fleet> ConfigurationTest::fleet;
std::unique_ptr<RevisionMonitor> ConfigurationTest::monitor;

TEST_F(ConfigurationTest, ChangeIsInForceEverywhereInSeconds) {
  for (int retries = 1; retries <= 5; ++retries) {
    const auto applied = Apply(Allowance("plain", retries));
    ASSERT_EQ(applied.status, 0) << applied.errors;
    EXPECT_TRUE(WaitUntil(kInForceLimit, [&] { return InForce("plain", retries); })) << retries;
  }
}

TEST_F(ConfigurationTest, OfTwoOperatorsThatReadTheSameOnlyOneWins) {
  ASSERT_EQ(Apply(Allowance("raced", 1)).status, 0);
  for (int round = 0; round < 5; ++round) {
    const auto read_at = std::to_string(StoreRevision());
    const auto apply = [&](int retries) {
      const auto name = "race" + std::to_string(retries) + ".json";
      return fleet->Command(
          {"apply", fleet->WriteFile(name, Allowance("raced", retries)), "--read-at", read_at});
    };
    const int choices[] = {10 + 2 * round, 11 + 2 * round};
    auto other = std::async(std::launch::async, [&] { return apply(choices[1]); });
    const Fleet::CommandResult results[] = {apply(choices[0]), other.get()};
    ASSERT_EQ(results[0].status + results[1].status, 1) << results[0].errors << results[1].errors;
    const int winner = results[0].status == 0 ? 0 : 1;
    const std::string& conflict = results[1 - winner].errors;
    EXPECT_NE(conflict.find("Nothing was written"), std::string::npos) << conflict;
    EXPECT_NE(conflict.find("retry_allowance/raced/v1 stands at revision"), std::string::npos)
        << conflict;
    EXPECT_TRUE(WaitUntil(kInForceLimit, [&] { return InForce("raced", choices[winner]); }));
  }
}

TEST_F(ConfigurationTest, RacingOperatorsNeverMixTheirChanges) {
  for (int round = 0; round < 5; ++round) {
    const auto apply = [&](int retries) {
      return Apply("[" + Allowance("left", retries) + "," + Allowance("right", retries) + "]");
    };
    const int choices[] = {10 + 2 * round, 11 + 2 * round};
    auto other = std::async(std::launch::async, [&] { return apply(choices[1]); });
    const Fleet::CommandResult results[] = {apply(choices[0]), other.get()};
    EXPECT_TRUE(results[0].status == 0 || results[1].status == 0);
    for (const auto& result : results) {
      if (result.status != 0) {
        EXPECT_EQ(result.status, 1);
        EXPECT_NE(result.errors.find("stands at revision"), std::string::npos) << result.errors;
      }
    }
    const auto one_of_them = [&](int i) {
      return results[i].status == 0 && InForce("left", choices[i]) && InForce("right", choices[i]);
    };
    EXPECT_TRUE(WaitUntil(kInForceLimit, [&] { return one_of_them(0) || one_of_them(1); }));
  }
}

TEST_F(ConfigurationTest, LostAnswerToTheWriteIsSettledByReadingBack) {
  fleet->SetStoreFault(R"({"mode": "lose_answers"})");
  const auto applied = Apply(Allowance("unanswered", 2));
  fleet->SetStoreFault(R"({"mode": "ok"})");
  EXPECT_EQ(applied.status, 0) << applied.errors;
  EXPECT_NE(applied.output.find("Written at revision"), std::string::npos) << applied.output;
  EXPECT_TRUE(WaitUntil(kInForceLimit, [] { return InForce("unanswered", 2); }));
}

TEST_F(ConfigurationTest, StoreDownRightAfterTheWrite) {
  ASSERT_EQ(Apply(Allowance("outage", 2)).status, 0);
  fleet->SetStoreFault(R"({"mode": "down"})");
  EXPECT_TRUE(WaitUntil(kInForceLimit, [] { return InForce("outage", 2); }));
  const auto refused = Apply(Allowance("outage", 3));
  EXPECT_EQ(refused.status, 1);
  fleet->SetStoreFault(R"({"mode": "ok"})");
  ASSERT_EQ(Apply(Allowance("outage", 4)).status, 0);
  EXPECT_TRUE(WaitUntil(kInForceLimit, [] { return InForce("outage", 4); }));
}

TEST_F(ConfigurationTest, NodeRestartedWithoutTheStoreServesWithTheCurrentRecords) {
  ASSERT_EQ(Apply(Allowance("restart", 2)).status, 0);
  ASSERT_TRUE(WaitUntil(kInForceLimit, [] { return InForce("restart", 2); }));
  const auto revision = ShownRevision(fleet->AdminUrl("b1"));
  ASSERT_NO_FATAL_FAILURE(RestartWithoutStore("a2"));
  EXPECT_GE(ShownRevision(fleet->AdminUrl("a2")), revision);
  EXPECT_TRUE(InForce("restart", 2));
  EXPECT_TRUE(
      WaitUntil(kStartLimit, [] { return fleet->Call("a2", "GET", "/entry/x").status == 200; }));
  fleet->SetStoreFault(R"({"mode": "ok"})");
  ASSERT_EQ(Apply(Allowance("restart", 3)).status, 0);
  EXPECT_TRUE(WaitUntil(kInForceLimit, [] { return InForce("restart", 3); }));
}

TEST_F(ConfigurationTest, NothingBringsARetiredRecordBack) {
  ASSERT_EQ(Apply(Service("gone", 1)).status, 0);
  ASSERT_TRUE(
      WaitUntil(kInForceLimit, [] { return !RecordOn("b2", "service/gone/v1").is_null(); }));
  const auto retired = fleet->Command({"retire", "service/gone/v1"});
  ASSERT_EQ(retired.status, 0) << retired.errors;
  EXPECT_TRUE(WaitUntil(kInForceLimit, [] { return RetiredEverywhere("service/gone/v1"); }));
  for (const auto* node : {"a1", "b2"}) {
    ASSERT_NO_FATAL_FAILURE(RestartWithoutStore(node));
    EXPECT_TRUE(RetiredEverywhere("service/gone/v1"));
    fleet->SetStoreFault(R"({"mode": "ok"})");
  }
  ASSERT_EQ(Apply(Allowance("after", 1)).status, 0);
  ASSERT_TRUE(WaitUntil(kInForceLimit, [] { return InForce("after", 1); }));
  EXPECT_TRUE(RetiredEverywhere("service/gone/v1"));
  EXPECT_EQ(fleet->Call("a1", "GET", "/gone/x").status, 404);
}

TEST_F(ConfigurationTest, HighestUnderstoodSchemaIsInForceAndUnknownOnesAreIgnored) {
  const auto body_limit = [](const std::string& node) {
    return fleet->Call(node, "POST", "/entry/x", {}, std::string(200, 'x')).status;
  };
  const auto all_refuse = [&] {
    return std::all_of(kNodes.begin(), kNodes.end(),
                       [&](const std::string& node) { return body_limit(node) == 413; });
  };
  ASSERT_EQ(body_limit("a1"), 200);
  ASSERT_EQ(Apply(Service("entry", 2, R"(, "max_body_bytes": 100)")).status, 0);
  EXPECT_TRUE(WaitUntil(kInForceLimit, all_refuse));
  const json envelope = {{"write_id", "later-version"}, {"retired", false}, {"body", "[3]"}};
  HttpCall put;
  put.method = "POST";
  put.url = fleet->StoreUrl() + "/v3/kv/txn";
  const json request = {{"key", store::EncodeBase64("/fireflyrun/test/records/service/entry/v4")},
                        {"value", store::EncodeBase64(envelope.dump())}};
  put.body = json{{"success", json::array({json{{"request_put", request}}})}}.dump();
  ASSERT_EQ(MakeCall(put).status, 200);
  EXPECT_TRUE(WaitUntil(kInForceLimit, [] {
    return std::all_of(kNodes.begin(), kNodes.end(), [](const std::string& node) {
      return !RecordOn(node, "service/entry/v4").is_null();
    });
  }));
  EXPECT_TRUE(all_refuse());
  ASSERT_EQ(Apply(Allowance("later", 1)).status, 0) << "the unknown record must not stop changes";
  EXPECT_TRUE(WaitUntil(kInForceLimit, [] { return InForce("later", 1); }));
}

}  // namespace
}  // namespace fireflyrun::integration
