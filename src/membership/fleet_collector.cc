#include "membership/fleet_collector.h"

#include <algorithm>
#include <set>
#include <utility>

#include "common/random.h"
#include "membership/control_address.h"
#include "membership/member_codec.h"
#include "membership/revision_codec.h"

namespace fireflyrun::membership {

namespace {

// Queries are sent in batches: each may need a new connection, and the transport keeps few open.
constexpr std::size_t kQueriesPerBatch = 16;
constexpr std::size_t kMaxCollections = 16;

pb::Part QueryPart(std::uint64_t id, bool whole_zone) {
  pb::Part part;
  part.mutable_fleet_query()->set_id(id);
  part.mutable_fleet_query()->set_whole_zone(whole_zone);
  return part;
}

void AddLagging(FleetReport& report, const std::map<std::string, pb::FleetReply>& replies) {
  for (ZoneReport& zone : report.zones) {
    const auto found = replies.find(zone.zone);
    if (found == replies.end()) continue;
    for (const pb::NodeStatus& node : found->second.nodes()) {
      const auto revision = RevisionOf(node.records_revision(), node.records_rest());
      if (revision < report.revision) zone.lagging.push_back(node.node());
    }
    std::sort(zone.lagging.begin(), zone.lagging.end());
  }
}

}  // namespace

FleetCollector::FleetCollector(ControlContext& shared, RevisionHook revision_hook)
    : context(shared), local_revision(std::move(revision_hook)) {}

void FleetCollector::Collect(Handler handler) {
  const std::uint64_t id = this->StartCollection();
  Collection& collection = this->collections[id];
  collection.handler = std::move(handler);
  const Duration timeout = this->context.options.fleet_timeout;
  collection.timeout_timer = this->context.timers.After(timeout, [this, id] { this->Finish(id); });
  collection.retry_timer =
      this->context.timers.After(timeout / 2, [this, id] { this->QueryZones(id, 1); });
  this->QueryZones(id, 0);
}

std::uint64_t FleetCollector::StartCollection() {
  const std::uint64_t id = RandomBits();
  Collection& collection = this->collections[id];
  const Member& self = this->context.view.Self();
  pb::FleetReply& own = collection.replies[self.zone];
  own.set_zone(self.zone);
  *own.add_nodes() = this->OwnStatus();
  for (const MemberState* state : this->context.view.MembersOf(self.zone)) {
    const bool is_self = state->member.node == self.node;
    if (state->IsReachable() && !is_self) {
      collection.unqueried.push_back(ControlAddressOf(state->member));
    }
  }
  collection.next_batch_timer =
      this->context.timers.After(Duration::zero(), [this, id] { this->QueryNextMembers(id); });
  return id;
}

void FleetCollector::QueryNextMembers(std::uint64_t id) {
  const auto found = this->collections.find(id);
  if (found == this->collections.end()) return;
  Collection& collection = found->second;
  for (std::size_t i = 0; i < kQueriesPerBatch && !collection.unqueried.empty(); ++i) {
    this->context.outbox.Add(collection.unqueried.back(), QueryPart(id, false),
                             SendPriority::kUpdate);
    collection.unqueried.pop_back();
  }
  if (collection.unqueried.empty()) {
    if (this->IsComplete(collection)) this->Finish(id);
    return;
  }
  collection.next_batch_timer = this->context.timers.After(
      this->context.options.flush_period, [this, id] { this->QueryNextMembers(id); });
}

void FleetCollector::QueryZones(std::uint64_t id, std::size_t offset) {
  const auto found = this->collections.find(id);
  if (found == this->collections.end()) return;
  for (const MemberState* remote : this->context.picker.RemoteDelegates()) {
    const std::string& zone = remote->member.zone;
    if (found->second.replies.contains(zone)) continue;
    const MemberState* target = this->context.picker.RemoteDelegate(zone, offset);
    this->context.outbox.Add(ControlAddressOf(target->member), QueryPart(id, true),
                             SendPriority::kUpdate);
  }
}

void FleetCollector::OnQuery(const pb::FleetQuery& query, const std::string& from) {
  if (!query.whole_zone()) {
    pb::Part part;
    part.mutable_fleet_reply()->set_id(query.id());
    part.mutable_fleet_reply()->set_zone(this->context.view.Self().zone);
    *part.mutable_fleet_reply()->add_nodes() = this->OwnStatus();
    this->context.outbox.Add(from, part, SendPriority::kUpdate);
    return;
  }
  if (this->collections.size() >= kMaxCollections) return;
  const std::uint64_t id = this->StartCollection();
  Collection& collection = this->collections[id];
  collection.requester = from;
  collection.requester_id = query.id();
  // Leaves time for the reply and, if the first delegate fails, for a full collection by a second.
  const Duration timeout = this->context.options.fleet_timeout * 2 / 5;
  collection.timeout_timer = this->context.timers.After(timeout, [this, id] { this->Finish(id); });
}

void FleetCollector::OnReply(const pb::FleetReply& reply) {
  const auto found = this->collections.find(reply.id());
  if (found == this->collections.end()) return;
  Collection& collection = found->second;
  if (reply.whole_zone()) {
    collection.replies[reply.zone()] = reply;
  } else {
    pb::FleetReply& own = collection.replies[this->context.view.Self().zone];
    for (const pb::NodeStatus& status : reply.nodes()) *own.add_nodes() = status;
  }
  if (collection.unqueried.empty() && this->IsComplete(collection)) this->Finish(reply.id());
}

bool FleetCollector::IsComplete(const Collection& collection) const {
  const View& view = this->context.view;
  const std::string& own_zone = view.Self().zone;
  const auto& members = view.MembersOf(own_zone);
  const auto reachable =
      std::count_if(members.begin(), members.end(),
                    [](const MemberState* state) { return state->IsReachable(); });
  if (collection.replies.at(own_zone).nodes_size() < reachable) return false;
  if (!collection.handler) return true;
  for (const MemberState* remote : this->context.picker.RemoteDelegates()) {
    if (!collection.replies.contains(remote->member.zone)) return false;
  }
  return true;
}

void FleetCollector::Finish(std::uint64_t id) {
  const auto found = this->collections.find(id);
  if (found == this->collections.end()) return;
  const Collection collection = std::move(found->second);
  this->collections.erase(found);
  if (collection.handler) {
    collection.handler(this->BuildReport(collection));
    return;
  }
  pb::Part part;
  *part.mutable_fleet_reply() = this->OwnZoneReply(collection);
  this->context.outbox.Add(collection.requester, part, SendPriority::kUpdate);
}

pb::FleetReply FleetCollector::OwnZoneReply(const Collection& collection) const {
  const View& view = this->context.view;
  pb::FleetReply reply = collection.replies.at(view.Self().zone);
  reply.set_id(collection.requester_id);
  reply.set_whole_zone(true);
  reply.set_members(static_cast<std::uint32_t>(view.CountPresent(view.Self().zone)));
  for (const MemberState* state : view.MembersOf(view.Self().zone)) {
    if (state->IsPresent() && !state->IsReachable()) reply.add_unreachable(state->member.node);
  }
  for (const Finding& conflict : view.Conflicts()) {
    reply.add_conflicts(conflict.place + ": " + conflict.message);
  }
  return reply;
}

pb::NodeStatus FleetCollector::OwnStatus() const {
  const Member& self = this->context.view.Self();
  pb::NodeStatus status;
  status.set_node(self.node);
  status.set_incarnation(self.incarnation);
  const records::BookRevision revision = this->local_revision();
  status.set_records_revision(static_cast<std::uint64_t>(revision.number));
  status.set_records_rest(revision.rest);
  status.set_target_state(EncodeTargetState(self.target_state));
  return status;
}

FleetReport FleetCollector::BuildReport(const Collection& collection) const {
  FleetReport report;
  std::set<std::string> conflicts;
  for (const Finding& conflict : this->context.view.Conflicts()) {
    conflicts.insert(conflict.place + ": " + conflict.message);
  }
  for (const std::string& zone : this->context.view.Zones()) {
    report.zones.push_back(this->BuildZoneReport(zone, collection));
    const auto& counts = report.zones.back().revision_counts;
    if (!counts.empty()) report.revision = std::max(report.revision, counts.rbegin()->first);
  }
  for (const auto& [zone, reply] : collection.replies) {
    conflicts.insert(reply.conflicts().begin(), reply.conflicts().end());
  }
  report.conflicts.assign(conflicts.begin(), conflicts.end());
  AddLagging(report, collection.replies);
  return report;
}

ZoneReport FleetCollector::BuildZoneReport(const std::string& zone,
                                           const Collection& collection) const {
  ZoneReport report;
  report.zone = zone;
  for (const MemberState* state : this->context.view.MembersOf(zone)) {
    if (!state->IsPresent()) continue;
    report.region = state->member.region;
    ++report.nodes;
    if (state->IsReachable()) {
      ++report.reachable;
    } else {
      report.unreachable.push_back(state->member.node);
    }
  }
  std::sort(report.unreachable.begin(), report.unreachable.end());
  const auto reply = collection.replies.find(zone);
  if (reply == collection.replies.end()) return report;
  report.answered = static_cast<std::size_t>(reply->second.nodes_size());
  for (const pb::NodeStatus& node : reply->second.nodes()) {
    ++report.revision_counts[RevisionOf(node.records_revision(), node.records_rest())];
  }
  return report;
}

}  // namespace fireflyrun::membership
