#include "node/node_setting_table.h"

#include <gtest/gtest.h>

#include <map>

namespace fireflyrun::node {
namespace {

using Environment = std::map<std::string, std::string>;

ParsedNodeSettings Parse(std::vector<std::string> arguments, const Environment& environment = {}) {
  arguments.insert(arguments.begin(), "node");
  std::vector<char*> pointers;
  pointers.reserve(arguments.size() + 1);
  for (auto& argument : arguments) pointers.push_back(argument.data());
  pointers.push_back(nullptr);
  return ParseNodeSettings(
      static_cast<int>(arguments.size()), pointers.data(),
      [&](const std::string& name) -> std::optional<std::string> {
        const auto found = environment.find(name);
        if (found == environment.end()) return std::nullopt;
        return found->second;
      },
      [](const std::string& path) -> std::optional<std::string> {
        if (path != "settings") return std::nullopt;
        return "# of this host\n\nFIREFLYRUN_NODE=from-file\n"
               "FIREFLYRUN_CALLER_PORT=10.0.0.1:8304\nODD\n";
      });
}

std::vector<std::string> Required() {
  return {"--node", "n1", "--region", "east", "--zone", "east-a", "--seeds", "127.0.0.1:7403"};
}

TEST(NodeSettingTableTest, VariablesAndFlagsOverrideSettingsFile) {
  const auto parsed = Parse(Required(), {{"FIREFLYRUN_BOOT", "settings"}});
  EXPECT_EQ(parsed.settings.node, "n1");
  EXPECT_EQ(parsed.settings.caller_port, 8304);
  ASSERT_EQ(parsed.findings.size(), 1U);
  EXPECT_EQ(parsed.findings[0].place, "settings:5");
}

TEST(NodeSettingTableTest, ReportsUnreadableSettingsFile) {
  const auto parsed = Parse(Required(), {{"FIREFLYRUN_BOOT", "elsewhere"}});
  ASSERT_EQ(parsed.findings.size(), 1U);
  EXPECT_EQ(parsed.findings[0].place, "elsewhere");
}

TEST(NodeSettingTableTest, FlagsOverrideVariables) {
  auto arguments = Required();
  arguments.insert(arguments.end(), {"--caller-port", "8000"});
  const auto parsed =
      Parse(arguments, {{"FIREFLYRUN_CALLER_PORT", "9000"}, {"FIREFLYRUN_ADMIN_PORT", "9001"}});
  EXPECT_TRUE(parsed.findings.empty()) << FormatFindings(parsed.findings);
  EXPECT_EQ(parsed.settings.caller_port, 8000);
  EXPECT_EQ(parsed.settings.admin_port, 9001);
}

TEST(NodeSettingTableTest, MemoryLimitIsInMegabytesAndMayBeLeftEmpty) {
  EXPECT_EQ(Parse(Required(), {{"FIREFLYRUN_MEMORY_LIMIT", "160"}}).settings.memory_limit,
            std::size_t{160} << 20);
  const auto empty = Parse(Required(), {{"FIREFLYRUN_MEMORY_LIMIT", ""}});
  EXPECT_TRUE(empty.findings.empty()) << FormatFindings(empty.findings);
  EXPECT_EQ(empty.settings.memory_limit, NodeSettings().memory_limit);
  EXPECT_EQ(Parse(Required(), {{"FIREFLYRUN_MEMORY_LIMIT", "63"}}).findings.size(), 1U);
}

TEST(NodeSettingTableTest, ReportsEveryInvalidValueWithItsSource) {
  const auto parsed =
      Parse({"--node", "Not A Name", "--caller-port", "70000", "--store", "nowhere"},
            {{"FIREFLYRUN_STOP_LIMIT", "-1"}});
  const std::string text = FormatFindings(parsed.findings);
  EXPECT_NE(text.find("--node: "), std::string::npos) << text;
  EXPECT_NE(text.find("--caller-port: "), std::string::npos) << text;
  EXPECT_NE(text.find("--store: "), std::string::npos) << text;
  EXPECT_NE(text.find("FIREFLYRUN_STOP_LIMIT: "), std::string::npos) << text;
  EXPECT_NE(text.find("--region: is required"), std::string::npos) << text;
}

TEST(NodeSettingTableTest, ReadsFleetRetryBound) {
  const auto parsed = Parse({"--retry-window", "10", "--retry-extra", "48.0", "--retry-ratio",
                             "1.5", "--retry-levels", "0"});
  EXPECT_EQ(parsed.settings.retry_window, std::chrono::seconds(10));
  EXPECT_EQ(parsed.settings.retry_extra, 48);
  const std::string text = FormatFindings(parsed.findings);
  EXPECT_NE(text.find("--retry-ratio: "), std::string::npos) << text;
  EXPECT_NE(text.find("--retry-levels: "), std::string::npos) << text;
}

TEST(NodeSettingTableTest, RejectsDuplicatePorts) {
  auto arguments = Required();
  arguments.insert(arguments.end(), {"--caller-port", "7401"});
  EXPECT_FALSE(Parse(arguments).findings.empty());
}

TEST(NodeSettingTableTest, UnknownFlagsAndPositionalArgumentsAreWrongUsage) {
  EXPECT_TRUE(Parse({"--no-such-flag"}).wrong_usage);
  EXPECT_TRUE(Parse({"word"}).wrong_usage);
}

TEST(NodeSettingTableTest, HelpNamesEverySetting) {
  const std::string help = NodeHelp();
  for (const auto& spec : NodeSettingTable()) {
    EXPECT_NE(help.find(std::string(spec.flag)), std::string::npos);
    EXPECT_NE(help.find(std::string(spec.variable)), std::string::npos);
  }
}

}  // namespace
}  // namespace fireflyrun::node
