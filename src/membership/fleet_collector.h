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

/// Collects the state of the fleet for an operator. The node that receives the request queries the
/// members of its own zone and one delegate of every other zone; a delegate queries its own zone
/// and replies for it within half the timeout. A zone that has not replied by then is queried
/// through another delegate.
class FleetCollector {
 public:
  using Handler = std::function<void(FleetReport)>;
  using RevisionHook = std::function<records::BookRevision()>;

  FleetCollector(ControlContext& shared, RevisionHook revision_hook);
  ~FleetCollector() = default;
  FleetCollector(const FleetCollector&) = delete;
  FleetCollector& operator=(const FleetCollector&) = delete;

  /// Calls `handler` exactly once, never from within Collect().
  void Collect(Handler handler);
  void OnQuery(const pb::FleetQuery& query, const std::string& from);
  void OnReply(const pb::FleetReply& reply);

 private:
  /// A collection of the whole fleet for an operator, or of this zone for another node.
  struct Collection {
    Handler handler;        ///< Set if the collection is for an operator.
    std::string requester;  ///< Control address; set if the collection is for another node.
    std::uint64_t requester_id = 0;
    std::map<std::string, pb::FleetReply> replies;  ///< By zone.
    std::vector<std::string> unqueried;             ///< Members of this zone not yet queried.
    TimerSubscription next_batch_timer;
    TimerSubscription retry_timer;
    TimerSubscription timeout_timer;
  };

  std::uint64_t StartCollection();
  void QueryNextMembers(std::uint64_t id);
  void QueryZones(std::uint64_t id, std::size_t offset);
  bool IsComplete(const Collection& collection) const;
  void Finish(std::uint64_t id);
  pb::FleetReply OwnZoneReply(const Collection& collection) const;
  pb::NodeStatus OwnStatus() const;
  FleetReport BuildReport(const Collection& collection) const;
  ZoneReport BuildZoneReport(const std::string& zone, const Collection& collection) const;

  ControlContext& context;
  RevisionHook local_revision;
  std::map<std::uint64_t, Collection> collections;
};

}  // namespace fireflyrun::membership
