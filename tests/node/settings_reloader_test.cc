#include "node/settings_reloader.h"

#include <gtest/gtest.h>

#include <asio/io_context.hpp>

#include "common/timer_service.h"

namespace fireflyrun::node {
namespace {

constexpr const char* kText =
    "FIREFLYRUN_NODE=n1\nFIREFLYRUN_REGION=east\nFIREFLYRUN_ZONE=east-a\n"
    "FIREFLYRUN_SEEDS=127.0.0.1:7403\nFIREFLYRUN_STOP_LIMIT=5.5\nFIREFLYRUN_CALLER_PORT=7400\n";

ParsedNodeSettings Parse(const std::string& text) {
  std::string name = "node";
  char* arguments[] = {name.data(), nullptr};
  return ParseNodeSettings(
      1, arguments,
      [](const std::string& variable) -> std::optional<std::string> {
        if (variable == kSettingsFileVariable) return "settings";
        return std::nullopt;
      },
      [&text](const std::string&) { return text; });
}

class SettingsReloaderTest : public ::testing::Test {
 protected:
  SettingsReloader::Hooks MakeHooks() {
    SettingsReloader::Hooks hooks;
    hooks.stamp = [this] { return std::optional(this->stamp); };
    hooks.read = [this] { return this->text; };
    hooks.parse = Parse;
    hooks.apply = [this](const NodeSettings& settings) { this->applied.push_back(settings); };
    return hooks;
  }

  /// Replaces `what` by `with` in the file.
  void Change(const std::string& what, const std::string& with) {
    this->text->replace(this->text->find(what), what.size(), with);
    this->stamp.modified_ns -= 1;  // As after a backward clock jump.
  }

  asio::io_context loop;
  TimerService timers{loop};
  SettingsReloader::Stamp stamp{1, 1000, 1};
  std::optional<std::string> text = kText;
  std::vector<NodeSettings> applied;
  SettingsReloader reloader{timers, Parse(kText), MakeHooks()};
};

TEST_F(SettingsReloaderTest, AppliesLiveSettingsAndLeavesOthersUntilRestart) {
  this->Change("LIMIT=5.5", "LIMIT=7.5");
  this->Change("PORT=7400", "PORT=7500");
  this->reloader.Reload();
  ASSERT_EQ(this->applied.size(), 1U);
  EXPECT_EQ(this->applied[0].stop_limit, std::chrono::milliseconds(7500));
  EXPECT_EQ(this->applied[0].caller_port, 7400);
  this->reloader.Reload();
  EXPECT_EQ(this->applied.size(), 1U);
}

TEST_F(SettingsReloaderTest, DetectsFileChangeWithoutSignal) {
  this->Change("LIMIT=5.5", "LIMIT=7.5");
  while (this->applied.empty()) {
    ASSERT_GT(this->loop.run_one_for(std::chrono::seconds(5)), 0U);
  }
}

TEST_F(SettingsReloaderTest, PartialInvalidOrMissingFileChangesNothing) {
  const std::string whole = "FIREFLYRUN_STOP_LIMIT=9\n" + std::string(kText);
  const std::size_t last_line = whole.rfind("FIREFLYRUN_CALLER");
  const std::optional<std::string> bad[] = {whole.substr(0, last_line),
                                            whole.substr(0, whole.size() - 2),
                                            whole + "WHAT=1\n",
                                            whole + "FIREFLYRUN_ZONE=A b\n",
                                            "",
                                            std::nullopt};
  for (const auto& content : bad) {
    this->text = content;
    this->reloader.Reload();
    EXPECT_TRUE(this->applied.empty()) << content.value_or("unreadable");
  }
  this->text = std::string(kText) + "FIREFLYRUN_STOP_LIMIT=9\n";
  this->reloader.Reload();
  EXPECT_EQ(this->applied.size(), 1U);
}

}  // namespace
}  // namespace fireflyrun::node
