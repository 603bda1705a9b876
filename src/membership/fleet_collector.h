#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/timer_subscription.h"
#include "membership/control.pb.h"
#include "membership/control_context.h"
#include "membership/fleet_report.h"

namespace fireflyrun::membership {

/// Collects the state of the fleet when an operator asks. The node asked queries the members of its
/// own zone and one delegate of every other zone; a delegate queries its own zone and answers for
/// it within half the time. A zone that has not answered by then is asked through another delegate.
class FleetCollector {
 public:
  using Handler = std::function<void(FleetReport)>;
  using RevisionHook = std::function<std::uint64_t()>;

  FleetCollector(ControlContext& shared, RevisionHook revision_hook);
  ~FleetCollector() = default;
  FleetCollector(const FleetCollector&) = delete;
  FleetCollector& operator=(const FleetCollector&) = delete;

  /// Calls `handler` once, never from within this call.
  void Collect(Handler handler);
  void OnQuery(const pb::FleetQuery& query, const std::string& from);
  void OnReply(const pb::FleetReply& reply);

 private:
  /// One collection for the operator, or of one zone for another node.
  struct Collection {
    Handler handler;        ///< Set for an operator's collection.
    std::string requester;  ///< Set for another node's.
    std::uint64_t requester_id = 0;
    std::map<std::string, pb::FleetReply> replies;  ///< By zone.
    std::vector<std::string> to_ask;                ///< Own-zone members not yet asked.
    TimerSubscription pace;
    TimerSubscription again;
    TimerSubscription end;
  };

  std::uint64_t StartCollection();
  void AskSome(std::uint64_t id);
  void AskZones(std::uint64_t id, std::size_t offset);
  bool IsComplete(const Collection& collection) const;
  void Finish(std::uint64_t id);
  pb::FleetReply OwnZoneReply(const Collection& collection) const;
  pb::NodeStatus OwnStatus() const;
  FleetReport BuildReport(const Collection& collection) const;
  ZoneReport BuildZone(const std::string& zone, const Collection& collection) const;

  ControlContext& context;
  RevisionHook local_revision;
  std::map<std::uint64_t, Collection> collections;
};

}  // namespace fireflyrun::membership
