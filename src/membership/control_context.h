#pragma once

#include "common/timer_service.h"
#include "membership/membership_options.h"
#include "membership/outbox.h"
#include "membership/peer_picker.h"
#include "membership/view.h"

namespace fireflyrun::membership {

/// What every part of the control traffic works with; owned by Membership.
struct ControlContext {
  TimerService& timers;
  const MembershipOptions& options;
  View& view;
  Outbox& outbox;
  PeerPicker& picker;
};

}  // namespace fireflyrun::membership
