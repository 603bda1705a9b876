#include "membership/fleet_collector.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <optional>

#include "tests/membership/test_fleet.h"

namespace fireflyrun::membership {
namespace {

std::optional<FleetReport> Collect(TestFleet& fleet, const std::string& node) {
  std::optional<FleetReport> report;
  fleet[node].membership->CollectFleet([&](FleetReport collected) { report = collected; });
  EXPECT_FALSE(report.has_value());
  fleet.RunUntil([&] { return report.has_value(); }, std::chrono::seconds(3));
  return report;
}

TEST(FleetCollector, CountsRevisionsAndListsUnreachableNodes) {
  TestFleet fleet;
  fleet.StartZones({"a", "b"}, 20);
  ASSERT_TRUE(fleet.RunUntilConverged());
  fleet.is_cut = [](const TestNode&, const TestNode& to) { return to.self.node == "b-7"; };
  for (auto& [name, node] : fleet.Nodes()) node->book[name == "b-7" ? 4 : 5] = "";
  ASSERT_TRUE(fleet.RunUntil(
      [&] { return fleet["a-1"].ReachabilityOf("b-7") == Reachability::kUnreachable; }));
  fleet.is_cut = [](const TestNode& from, const TestNode& to) {
    return from.self.node == "b-7" || to.self.node == "b-7";
  };
  const auto report = Collect(fleet, "a-1");
  ASSERT_TRUE(report.has_value());
  EXPECT_EQ(report->revision, 5U);
  ASSERT_EQ(report->zones.size(), 2U);
  EXPECT_EQ(report->zones[0].answered, 20U);
  EXPECT_EQ(report->zones[0].region, "region-of-a");
  EXPECT_EQ(report->zones[1].nodes, 20U);
  EXPECT_EQ(report->zones[1].reachable, 19U);
  EXPECT_EQ(report->zones[1].unreachable, std::vector<std::string>{"b-7"});
  EXPECT_EQ(report->zones[1].answered, 19U);
  EXPECT_EQ(report->zones[1].revision_counts.at(5), 19U);
}

TEST(FleetCollector, ListsALaggingNode) {
  TestFleet fleet;
  fleet.options.exchange_period = std::chrono::milliseconds(300);
  fleet.StartZones({"a", "b"}, 4);
  ASSERT_TRUE(fleet.RunUntilConverged());
  for (auto& [name, node] : fleet.Nodes()) node->book[name == "b-2" ? 4 : 5] = "";
  // The exchange brings b-2 up to date; retries until a query reaches it before the next exchange.
  std::optional<FleetReport> report;
  for (int i = 0; i < 20 && (!report || report->zones[1].lagging.empty()); ++i) {
    fleet["b-2"].book = {{4, ""}};
    report = Collect(fleet, "a-1");
  }
  ASSERT_TRUE(report.has_value());
  EXPECT_EQ(report->zones[1].lagging, std::vector<std::string>{"b-2"});
  EXPECT_EQ(report->zones[1].revision_counts.at(4), 1U);
}

TEST(FleetCollector, ReportsInTimeWhenAZoneDoesNotReply) {
  TestFleet fleet;
  fleet.StartZones({"a", "b"}, 3);
  ASSERT_TRUE(fleet.RunUntilConverged());
  for (auto& [name, node] : fleet.Nodes()) node->paused = node->self.zone == "b";
  const SteadyTime start = SteadyClock::now();
  const auto report = Collect(fleet, "a-1");
  ASSERT_TRUE(report.has_value());
  EXPECT_LT(SteadyClock::now() - start, std::chrono::milliseconds(1500));
  EXPECT_EQ(report->zones[0].answered, 3U);
  EXPECT_EQ(report->zones[1].answered, 0U);
}

TEST(FleetCollector, RendersJson) {
  ZoneReport zone;
  zone.zone = "a";
  zone.region = "r";
  zone.nodes = 2;
  zone.reachable = 1;
  zone.unreachable = {"n2"};
  zone.answered = 1;
  zone.revision_counts = {{12, 1}};
  zone.lagging = {"n1"};
  FleetReport report;
  report.zones = {zone};
  report.revision = 13;
  report.conflicts = {"n1: two"};
  EXPECT_EQ(nlohmann::json::parse(ToJson(report)), nlohmann::json::parse(R"({"zones": [{"zone": "a",
      "region": "r", "nodes": 2, "reachable": 1, "unreachable": ["n2"], "answered": 1,
      "revision_counts": {"12": 1}, "lagging": ["n1"]}], "revision": 13,
      "conflicts": ["n1: two"]})"));
}

}  // namespace
}  // namespace fireflyrun::membership
