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

/// Follows the local target's announcements: tells the fleet and the target service of its coming,
/// its leaving, and its silence.
class TargetWatcher {
 public:
  TargetWatcher(TimerService& timer_service, membership::Membership& fleet,
                TargetService& target_service, Duration silence_limit);

  void OnAnnouncement(const TargetAnnouncement& announcement);

  /// The node itself stops: the target leaves, whatever it announces later.
  void LeaveForGood();

 private:
  void CheckSilence();
  void SetLeaving();
  /// A leaving target whose place on this host another one has taken already.
  bool IsReplaced(const TargetAnnouncement& announcement) const;

  membership::Membership& membership;
  TargetService& target;
  Duration limit;
  std::optional<SteadyTime> last_heard;
  bool serving = false;
  bool node_stopping = false;
  TimerSubscription silence_timer;
};

}  // namespace fireflyrun::node
