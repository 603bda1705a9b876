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

/// Finds out which other zones can be reached as a whole. Only delegates of the own zone look: each
/// pings one member of every other zone a period, the zone's delegates first, then any others.
/// After `zone_tries` periods without an answer the zone counts as cut off and the delegate tells
/// its own zone. Of two beliefs the one with the higher sequence stands; a delegate that still has
/// answers denies a cut at once, and who was denied waits before it says so again.
class ZoneMonitor {
 public:
  ZoneMonitor(ControlContext& shared, FailureDetector& failure_detector)
      : context(shared), detector(failure_detector) {}
  ~ZoneMonitor() = default;
  ZoneMonitor(const ZoneMonitor&) = delete;
  ZoneMonitor& operator=(const ZoneMonitor&) = delete;

  void Start();
  /// True when the answer belonged to a ping of this monitor.
  bool OnAck(const pb::Ack& ack);
  /// A belief told by a member of the own zone.
  void OnBelief(const pb::ZoneBelief& belief);
  std::uint64_t SequenceOf(const std::string& zone) const;

 private:
  struct Watch {
    std::uint64_t ping = 0;  ///< 0 when no answer is awaited.
    std::size_t failures = 0;
    std::uint64_t sequence = 0;
    SteadyTime last_answer;
    SteadyTime denied_until;
    bool claimed = false;  ///< The belief in force is this node's own.
  };

  void Tick();
  void Check(const std::string& zone, Watch& watch);
  void SendPing(const std::string& zone, Watch& watch);
  void Announce(const std::string& zone, Watch& watch, bool cut);
  void Spread(const std::string& zone, bool cut, std::uint64_t sequence);

  ControlContext& context;
  FailureDetector& detector;
  TimerSubscription tick;
  SteadyTime last_tick;
  std::map<std::string, Watch> watches;
};

}  // namespace fireflyrun::membership
