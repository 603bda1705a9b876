#pragma once

#include <optional>

#include "common/clock.h"
#include "common/timer_subscription.h"
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

/// Follows the local target's announcements: tells the fleet and the target service of its coming,
/// its leaving, and its silence.
class TargetWatcher {
 public:
  TargetWatcher(TimerService& timer_service, membership::Membership& fleet,
                TargetService& target_service, const NodeSettings& node_settings);

  /// Where the target may be, or of which service, may have changed.
  void OnSettingsChanged() {}

  void OnAnnouncement(const TargetAnnouncement& announcement);

  /// The target with this id takes no new work from now on, whatever it announces later.
  void OnDeparture(const std::string& id);

  /// The node itself stops: the target leaves, whatever it announces later.
  void LeaveForGood();

 private:
  void CheckSilence();
  void SetLeaving();
  /// A leaving target whose place on this host another one has taken already.
  bool IsReplaced(const TargetAnnouncement& announcement) const;
  /// Said by an earlier run of the target, or overtaken by what this run said since.
  bool IsStale(const TargetAnnouncement& announcement) const;
  void TakeOver(const TargetAnnouncement& announcement);

  membership::Membership& membership;
  TargetService& target;
  const NodeSettings& settings;
  std::optional<SteadyTime> last_heard;
  TargetAnnouncement latest;  ///< Of the run that is believed to be there.
  bool has_departed = false;  ///< That run said that it leaves; it can't take this back.
  bool serving = false;
  bool node_stopping = false;
  TimerSubscription silence_timer;
};

}  // namespace fireflyrun::node
