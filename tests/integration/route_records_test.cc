#include <gtest/gtest.h>

#include <map>
#include <nlohmann/json.hpp>

#include "tests/integration/fleet.h"
#include "tests/integration/wait_until.h"

namespace fireflyrun::integration {
namespace {

using nlohmann::json;

constexpr int kCalls = 200;
constexpr std::chrono::seconds kLimit{10};

json Service(const std::string& name) {
  return {
      {"kind", "service"},       {"schema", 1},         {"name", name},      {"priority", "status"},
      {"retry_allowance", "no"}, {"deadline_ms", 4000}, {"idempotent", true}};
}

json Route(const std::string& name, const std::string& host, const std::string& prefix,
           const std::map<std::string, int>& weights) {
  json parts = json::array();
  for (const auto& [service, weight] : weights) {
    parts.push_back({{"service", service}, {"weight", weight}});
  }
  return {{"kind", "route"},      {"schema", 1},        {"name", name},
          {"host", host},         {"prefix", prefix},   {"services", parts},
          {"priority", "status"}, {"idempotent", true}, {"retry_allowance", "no"}};
}

std::string Records() {
  return json::array({{{"kind", "priority"},
                       {"schema", 1},
                       {"name", "status"},
                       {"rank", 9},
                       {"may_leave_region", false}},
                      {{"kind", "retry_allowance"},
                       {"schema", 1},
                       {"name", "no"},
                       {"retries_per_request", 0},
                       {"burst", 0},
                       {"success_ratio", 0}},
                      Service("blue"),
                      Service("green"),
                      Route("all", "shop.example", "/", {{"blue", 1}}),
                      Route("divided", "shop.example", "/p/", {{"blue", 1}, {"green", 3}}),
                      Route("deep", "shop.example", "/p/q/", {{"green", 1}}),
                      Route("other", "mill.example", "/", {{"green", 1}})})
      .dump();
}

std::vector<HostLayout> Layout() {
  return {{"a0", "east", "east-a"},
          {"a1", "east", "east-a", "blue", 20, 1, ""},
          {"a2", "east", "east-a", "green", 20, 1, ""}};
}

HttpAnswer CallHost(Fleet& fleet, const std::string& host, const std::string& path) {
  return fleet.Call("a0", "GET", path, {"Host: " + host});
}

json Told(const HttpAnswer& answer) {
  EXPECT_EQ(answer.status, 200) << answer.body;
  const json told = json::parse(answer.body, nullptr, false);
  return told.is_object() ? told : json::object();
}

std::string ServiceOf(Fleet& fleet, const std::string& host, const std::string& path) {
  return Told(CallHost(fleet, host, path)).value("service", "");
}

TEST(RouteRecordsTest, HostPrefixAndWeightsChooseTheServiceAndTheTargetGetsTheHost) {
  Fleet fleet(Layout(), Records());
  ASSERT_TRUE(fleet.WaitReady());

  EXPECT_EQ(ServiceOf(fleet, "shop.example", "/x"), "blue");
  EXPECT_EQ(ServiceOf(fleet, "shop.example", "/p"), "blue") << "no segment of that prefix";
  EXPECT_EQ(ServiceOf(fleet, "shop.example", "/p/q/r"), "green");
  EXPECT_EQ(ServiceOf(fleet, "mill.example", "/x"), "green");

  const json told = Told(CallHost(fleet, "Shop.Example:7400", "/p/q/r?s=1"));
  EXPECT_EQ(told.value("host", ""), "Shop.Example:7400");
  EXPECT_EQ(told.value("path", ""), "/p/q/r?s=1");

  std::map<std::string, int> counts;
  for (int i = 0; i < kCalls; ++i) ++counts[ServiceOf(fleet, "shop.example", "/p/x")];
  EXPECT_NEAR(counts["blue"], 0.25 * kCalls, 0.125 * kCalls);
  EXPECT_EQ(counts["blue"] + counts["green"], kCalls);

  EXPECT_EQ(CallHost(fleet, "nobody.example", "/x").status, 404);
}

TEST(RouteRecordsTest, BeforeAnyRecordsACallIsRefusedAsNotRun) {
  Fleet fleet({{"a0", "east", "east-a"}}, Records());
  ASSERT_TRUE(fleet.WaitReady());
  fleet.SetStoreFault(R"({"mode": "down"})");
  fleet.NodeProcess("a0").Kill();
  fleet.StartNode("a0");
  HttpAnswer answer;
  ASSERT_TRUE(WaitUntil(kLimit, [&] {
    answer = CallHost(fleet, "shop.example", "/x");
    return answer.status != 0;
  }));
  EXPECT_EQ(answer.status, 503) << answer.body;
  EXPECT_EQ(answer.Header("firefly-outcome"), "not-run");
}

}  // namespace
}  // namespace fireflyrun::integration
