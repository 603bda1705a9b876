#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "common/clock.h"
#include "common/timer_subscription.h"
#include "membership/control.pb.h"
#include "membership/control_context.h"
#include "membership/failure_detector.h"

namespace fireflyrun::membership {

/// Detects whether other zones are reachable as a whole. Only the delegates of a zone do so: each
/// pings one member of every other zone per period, the zone's delegates first, then random
/// members. After `zone_failure_limit` periods without an ack the zone counts as cut off, and the
/// delegate announces that to its own zone. Of two announcements the one with the higher sequence
/// is current. A delegate that still receives acks from the zone contradicts the announcement at
/// once, and the contradicted delegate waits before it announces the zone as cut off again.
class ZoneMonitor {
 public:
  ZoneMonitor(ControlContext& shared, FailureDetector& failure_detector)
      : context(shared), detector(failure_detector) {}
  ~ZoneMonitor() = default;
  ZoneMonitor(const ZoneMonitor&) = delete;
  ZoneMonitor& operator=(const ZoneMonitor&) = delete;

  void Start();
  /// Returns true if the ack belongs to a ping of this monitor.
  bool OnAck(const pb::Ack& ack);
  /// Handles an announcement by a member of this node's zone.
  void OnAnnouncement(const pb::ZoneBelief& belief);
  std::uint64_t SequenceOf(const std::string& zone) const;

 private:
  struct ZoneState {
    std::uint64_t ping = 0;  ///< Sequence number of the pending ping; 0 if none.
    std::size_t failures = 0;
    std::uint64_t sequence = 0;
    SteadyTime last_ack;
    SteadyTime announcements_paused_until;
    bool announced_cut = false;  ///< This node announced a cut that was not contradicted since.
  };

  void Tick();
  void Check(const std::string& zone, ZoneState& zone_state);
  void SendPing(const std::string& zone, ZoneState& zone_state);
  void Announce(const std::string& zone, ZoneState& zone_state, bool cut);
  void Push(const std::string& zone, bool cut, std::uint64_t sequence);

  ControlContext& context;
  FailureDetector& detector;
  TimerSubscription tick;
  SteadyTime last_tick;
  std::map<std::string, ZoneState> zone_states;
};

}  // namespace fireflyrun::membership
