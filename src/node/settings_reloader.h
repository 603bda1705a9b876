#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>

#include "common/timer_subscription.h"
#include "node/node_setting_table.h"

namespace fireflyrun {
class TimerService;
}

namespace fireflyrun::node {

/// Watches the settings file while the node runs. Live settings are applied; changes of other
/// settings are logged once as needing a restart. An unreadable, truncated or invalid file changes
/// nothing.
class SettingsReloader {
 public:
  /// File attributes that show a change. Compared for equality only: after a clock jump, the
  /// modification time may be earlier.
  struct Stamp {
    std::int64_t size = 0;
    std::int64_t modified_ns = 0;
    std::uint64_t inode = 0;
    bool operator==(const Stamp&) const = default;
  };

  struct Hooks {
    std::function<std::optional<Stamp>()> stamp;
    std::function<std::optional<std::string>()> read;
    /// Parses the file's text together with the environment and the flags.
    std::function<ParsedNodeSettings(const std::string& text)> parse;
    std::function<void(const NodeSettings&)> apply;
  };

  /// `in_force` are the settings that the node was started with.
  SettingsReloader(TimerService& timers, ParsedNodeSettings in_force, Hooks reload_hooks);

  /// Reads the file now, as requested by a signal.
  void Reload();

  const NodeSettings& InForce() const { return this->current.settings; }

 private:
  void Check();
  void OnText(const std::string& text);
  /// Problems that keep `parsed` from being applied.
  Findings FindProblems(const ParsedNodeSettings& parsed) const;
  void ApplyLive(const ParsedNodeSettings& parsed);
  void ReportPending(const ParsedNodeSettings& parsed);

  ParsedNodeSettings current;
  Hooks hooks;
  std::optional<Stamp> last_stamp;
  std::optional<std::string> last_text;  ///< Nullopt when not read yet or unreadable.
  bool has_problems = false;             ///< The last read found problems.
  std::set<std::string> logged_pending;  ///< `FLAG=VALUE` logged as needing a restart.
  TimerSubscription check_timer;
};

}  // namespace fireflyrun::node
