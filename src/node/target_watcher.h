#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "common/clock.h"
#include "common/finding.h"
#include "common/suspension_detector.h"
#include "common/timer_subscription.h"
#include "node/departed_runs.h"
#include "node/probe_result.h"
#include "node/target_announcement.h"

namespace fireflyrun {
class TimerService;
}
namespace fireflyrun::membership {
class Membership;
}

namespace fireflyrun::node {

class TargetService;
struct NodeSettings;

/// Tracks the local target and reports its arrival, departure and silence to the fleet and to the
/// target service. Relies on the target's announcements, and probes it without them: after the
/// start of the node, after a suspension, and before a silent target is withdrawn.
class TargetWatcher {
 public:
  struct Hooks {
    using ProbeHandler = std::function<void(ProbeResult)>;
    /// Probes the target at `address` and cancels a probe that is still open. Empty when targets
    /// aren't probed.
    std::function<void(const std::string& address, const std::string& path, ProbeHandler)> probe;
    /// Path of the service's health probe; nullopt while unknown.
    std::function<std::optional<std::string>(const std::string& service)> health_path;
    /// Slots that the service's targets on other hosts announced. Empty when none are known.
    std::function<std::vector<std::uint32_t>(const std::string& service)> slots_elsewhere;
  };

  TargetWatcher(TimerService& timer_service, membership::Membership& fleet,
                TargetService& target_service, const NodeSettings& node_settings,
                Hooks watcher_hooks, SuspensionDetector suspension_detector = {});

  /// Applies an announcement, unless it can't come from this host's target.
  Findings OnAnnouncement(const TargetAnnouncement& announcement);

  /// That run of the target takes no new calls from now on, whatever it announces later. `born` is
  /// 0 when unknown.
  void OnDeparture(const std::string& id, std::uint64_t born);

  /// The node stops: the target leaves, whatever it announces later.
  void LeavePermanently();

  /// The target answered a call, or failed one.
  void OnAnswer() { this->last_answer = SteadyClock::now(); }
  void OnFailure();

  /// The configured address or service of the target may have changed.
  void OnSettingsChanged();

  /// Runs periodically: searches for a missing target and checks a silent one.
  void Check();

 private:
  /// Why the announcement can't come from this host's target.
  Findings FindMismatches(const TargetAnnouncement& announcement) const;
  /// From an earlier run of the target, or older than the latest announcement of this run.
  bool IsStale(const TargetAnnouncement& announcement) const;
  /// From a run that a probe found not serving and that hasn't shown since then that it serves: one
  /// announcement may be a late copy from before its departure, which this process may not know of.
  bool IsDoubted(const TargetAnnouncement& announcement);
  /// From a leaving target that another target on this host has already replaced.
  bool IsReplaced(const TargetAnnouncement& announcement) const;
  void AcceptAnnouncement(const TargetAnnouncement& announcement);
  /// Publishes the current run as serving, or as leaving if it announced that.
  void PublishState();
  void SetLeaving();
  void Withdraw(std::string_view reason);
  void CheckSilence();
  /// Probes for a target that the settings name and that hasn't announced itself.
  void SearchForTarget();
  void OnSearchResult(const ProbeResult& result);
  /// Slots of a target that hasn't announced them: the fewest that other targets of its service
  /// announced.
  std::uint32_t PresumedSlots() const;
  /// Announcements from other hosts may arrive after the target was found.
  void UpdatePresumedSlots();
  /// Returns false if the target can't be probed now.
  bool Probe(const std::string& service, const std::string& address,
             const Hooks::ProbeHandler& handler);

  membership::Membership& membership;
  TargetService& target;
  const NodeSettings& settings;
  Hooks hooks;
  SuspensionDetector suspension;
  /// Time of the last announcement or successful probe; nullopt while the target is absent.
  std::optional<SteadyTime> last_seen;
  SteadyTime last_answer;
  TargetAnnouncement latest;    ///< From the current run.
  bool known_by_probe = false;  ///< That run is known from a probe only.
  DepartedRuns departed;
  std::string doubted_id;         ///< Of a run that a search found not serving; empty for none.
  std::uint64_t doubted_seq = 0;  ///< Of the first announcement since then; 0 before it.
  SteadyTime doubted_since;       ///< Its arrival.
  bool serving = false;
  bool node_stopping = false;
  bool searching = true;    ///< No target was found since the start, a suspension or a move.
  bool probe_open = false;  ///< A probe is open.
  SteadyTime next_search;
  Duration search_delay;
  SteadyTime next_failure_probe;
  TimerSubscription check_timer;
};

}  // namespace fireflyrun::node
