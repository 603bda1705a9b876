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

/// Follows the file of settings while the node runs. What can change comes into force; the rest is
/// reported once as needing a restart. A file that can't be read, is cut short or holds anything
/// wrong changes nothing.
class SettingsReloader {
 public:
  /// What the operating system says of the file; it need not grow, as clocks jump.
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

  /// `in_force` is what the node was started with.
  SettingsReloader(TimerService& timers, ParsedNodeSettings in_force, Hooks reload_hooks);

  /// Reads the file now, for a signal.
  void Reload();

  const NodeSettings& InForce() const { return this->current.settings; }

 private:
  void Check();
  void OnText(const std::string& text);
  /// What of `parsed` keeps it from coming into force as a whole.
  Findings FindProblems(const ParsedNodeSettings& parsed) const;
  void ApplyLive(const ParsedNodeSettings& parsed);
  void ReportPending(const ParsedNodeSettings& parsed);

  ParsedNodeSettings current;
  Hooks hooks;
  std::optional<Stamp> last_stamp;
  std::optional<std::string> last_text;  ///< Nullopt: not read yet, or not readable.
  bool unsettled = false;                ///< The last reading found something wrong.
  std::set<std::string> told;            ///< `FLAG=VALUE` that were reported as pending.
  TimerSubscription check_timer;
};

}  // namespace fireflyrun::node
