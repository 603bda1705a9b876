#pragma once

#include "common/timer_service.h"
#include "membership/membership_options.h"
#include "membership/outbox.h"
#include "membership/peer_picker.h"
#include "membership/view.h"

namespace fireflyrun::membership {

/// Objects shared by all components of the control plane; owned by Membership.
struct ControlContext {
  TimerService& timers;
  const MembershipOptions& options;
  View& view;
  Outbox& outbox;
  PeerPicker& picker;
};

}  // namespace fireflyrun::membership
