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

/// Follows the local target: tells the fleet and the target service of its coming, its leaving, and
/// its silence. It believes what the target says of itself, and asks it where nothing is heard:
/// when the node has just started, after a suspension, and before a silent target is withdrawn.
class TargetWatcher {
 public:
  struct Hooks {
    using ProbeHandler = std::function<void(ProbeResult)>;
    /// Asks the target at `address`; drops the handler of a question that is still open. Empty:
    /// targets aren't asked.
    std::function<void(const std::string& address, const std::string& path, ProbeHandler)> probe;
    /// Where targets of the service are asked; nullopt while it isn't known.
    std::function<std::optional<std::string>(const std::string& service)> health_path;
    /// The slots that other hosts' targets of the service announced. Empty: none is known.
    std::function<std::vector<std::uint32_t>(const std::string& service)> slots_elsewhere;
  };

  TargetWatcher(TimerService& timer_service, membership::Membership& fleet,
                TargetService& target_service, const NodeSettings& node_settings,
                Hooks watcher_hooks, SuspensionDetector suspension_detector = {});

  /// Takes an announcement in, unless it can't be one of this host's target.
  Findings OnAnnouncement(const TargetAnnouncement& announcement);

  /// That run of the target takes no new work from now on, whatever it announces later. `born` is 0
  /// where it isn't told.
  void OnDeparture(const std::string& id, std::uint64_t born);

  /// The node itself stops: the target leaves, whatever it announces later.
  void LeavePermanently();

  /// The target answered a call, or failed one.
  void OnAnswer() { this->last_answer = SteadyClock::now(); }
  void OnFailure();

  /// Where the target may be, or of which service, may have changed.
  void OnSettingsChanged();

  /// Looks after the target; runs regularly.
  void Check();

 private:
  Findings FindForeign(const TargetAnnouncement& announcement) const;
  /// Said by an earlier run of the target, or overtaken by what this run said since.
  bool IsStale(const TargetAnnouncement& announcement) const;
  /// A leaving target whose place on this host another one has taken already.
  bool IsReplaced(const TargetAnnouncement& announcement) const;
  void TakeOver(const TargetAnnouncement& announcement);
  /// Lets the run that is believed to be there serve, or leave where it said so.
  void Follow();
  void SetLeaving();
  void Withdraw(std::string_view reason);
  void CheckSilence();
  /// Asks for a target that the settings name and that hasn't been heard of.
  void LookForTarget();
  void OnFound(const ProbeResult& result);
  /// Of a target that hasn't told its slots: as many as the smallest of its service that did.
  std::uint32_t PresumedSlots() const;
  /// What others tell may come later than the target's answer.
  void FollowPresumedSlots();
  /// False when the target can't be asked.
  bool Ask(const std::string& service, const std::string& address,
           const Hooks::ProbeHandler& handler);

  membership::Membership& membership;
  TargetService& target;
  const NodeSettings& settings;
  Hooks hooks;
  SuspensionDetector suspension;
  /// When it was last known to be there; nullopt: it isn't, as far as is known.
  std::optional<SteadyTime> last_heard;
  SteadyTime last_answer;
  TargetAnnouncement latest;  ///< Of the run that is believed to be there.
  bool presumed = false;      ///< That run is known by a question only.
  DepartedRuns departed;
  bool serving = false;
  bool node_stopping = false;
  bool looking = true;  ///< Nothing was heard of a target since the start or a suspension.
  bool asking = false;  ///< A question is open.
  SteadyTime next_look;
  Duration look_pause;
  SteadyTime next_doubt;
  TimerSubscription check_timer;
};

}  // namespace fireflyrun::node
