#include <gtest/gtest.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <csignal>
#include <nlohmann/json.hpp>

#include "tests/integration/fleet.h"
#include "tests/integration/revision_monitor.h"
#include "tests/integration/wait_until.h"

namespace fireflyrun::integration {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kMembershipLimit{10'000};
constexpr std::chrono::milliseconds kStartLimit{20'000};
constexpr std::chrono::milliseconds kObservationSpan{3'000};
constexpr std::size_t kNodes = 4;

std::vector<HostLayout> TwoZones() {
  return {{"a1", "east", "east-a", "entry", 20, 2, ""},
          {"a2", "east", "east-a", "middle", 20, 2, ""},
          {"b1", "east", "east-b", "", 0, 0, ""},
          {"b2", "east", "east-b", "deep", 20, 2, ""}};
}

/// One fleet serves all tests of this file, which leave it as they found it.
class RestartTest : public ::testing::Test {
 protected:
  static void SetUpTestSuite() { fleet = std::make_unique<Fleet>(TwoZones(), ChainRecords()); }
  static void TearDownTestSuite() { fleet.reset(); }

  void SetUp() override { ASSERT_TRUE(fleet->WaitReady()); }

  static json Report(const std::string& node) {
    return json::parse(Get(fleet->AdminUrl(node) + "/fleet").body, nullptr, false);
  }

  /// The nodes that a node counts as members.
  static std::size_t CountNodes(const std::string& node) {
    const json report = Report(node);
    std::size_t count = 0;
    if (!report.is_object()) return count;
    for (const auto& zone : report["zones"]) count += zone["nodes"].get<std::size_t>();
    return count;
  }

  /// Some conflict that a node reports begins with `place` and contains `text`.
  static bool Reports(const std::string& node, const std::string& place, const std::string& text) {
    const json report = Report(node);
    if (!report.is_object()) return false;
    const auto& conflicts = report["conflicts"];
    return std::any_of(conflicts.begin(), conflicts.end(), [&](const json& conflict) {
      const auto line = conflict.get<std::string>();
      return line.starts_with(place + ": ") && line.find(text) != std::string::npos;
    });
  }

  static std::unique_ptr<Fleet> fleet;
};

std::unique_ptr<Fleet> RestartTest::fleet;

TEST_F(RestartTest, KilledNodesOfAZoneAreReplacedOneAfterAnother) {
  const auto revision = ShownRevision(fleet->AdminUrl("b1"));
  const std::pair<const char*, const char*> only_targets[] = {{"a1", "/entry/x"},
                                                              {"a2", "/middle/x"}};
  for (const auto& [node, path] : only_targets) {
    fleet->NodeProcess(node).Kill();
    fleet->StartNode(node);
    EXPECT_TRUE(fleet->WaitReady(kMembershipLimit)) << node;
    EXPECT_EQ(ShownRevision(fleet->AdminUrl(node)), revision) << node;
    EXPECT_EQ(CountNodes("b1"), kNodes) << node;
    EXPECT_EQ(fleet->Call(node, "GET", "/deep/x").status, 200) << node;
    EXPECT_TRUE(WaitUntil(kMembershipLimit, [url = path] {
      return fleet->Call("b1", "GET", url).status == 200;
    })) << node;
  }
}

TEST_F(RestartTest, NodeOfAnotherClusterIsRefusedAndReported) {
  const auto stranger = fleet->StartExtraNode("another", "x1");
  EXPECT_TRUE(WaitUntil(kStartLimit, [] { return Reports("a1", "x1", "another"); }));
  EXPECT_TRUE(HoldsFor(kObservationSpan, [] { return CountNodes("a1") == kNodes; }));
}

TEST_F(RestartTest, TwoNodesWithOneNameAreReported) {
  auto namesake = fleet->StartExtraNode("test", "a1");
  EXPECT_TRUE(WaitUntil(kStartLimit,
                        [] { return Reports("a1", "a1", "name") || Reports("b1", "a1", "name"); }));
  namesake.reset();
  fleet->NodeProcess("a1").Kill();
  fleet->StartNode("a1");
  EXPECT_TRUE(fleet->WaitReady());
}

/// A port of loopback that nothing uses just now.
int FreePort() {
  asio::io_context loop;
  const asio::ip::tcp::acceptor acceptor(loop, {asio::ip::address_v4::loopback(), 0});
  return acceptor.local_endpoint().port();
}

/// The node's site demands more of announcements than this target says, so that only asking it
/// shows the node its target.
TEST(RestartBesideATargetTest, ATargetThatSaysNothingIsFoundByAsking) {
  const std::string port = std::to_string(FreePort());
  HostLayout host{"n1", "east", "east-a", "deep"};
  host.node_flags = {"--target-service", "deep", "--target-address", "127.0.0.1:" + port};
  host.target_flags = {"--port", port};
  std::string records = ChainRecords();
  const std::string deep = R"("schema": 1, "name": "deep")";
  records.replace(records.find(deep), deep.size(),
                  R"("schema": 3, "name": "deep", "health_path": "/health")");
  Fleet own({host}, records);
  ASSERT_TRUE(own.WaitReady());
  own.NodeProcess("n1").Kill();
  own.StartNode("n1");
  ASSERT_TRUE(own.WaitReady(kMembershipLimit)) << own.NodeProcess("n1").ErrorOutput();
  EXPECT_EQ(own.Call("n1", "GET", "/deep/x").status, 200);
}

}  // namespace
}  // namespace fireflyrun::integration
