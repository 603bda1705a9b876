#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/clock.h"
#include "common/timer_subscription.h"
#include "node/component.h"
#include "node/dispatch_services.h"
#include "node/node_settings.h"
#include "node/platform_adapter.h"
#include "node/supervisor.h"

namespace fireflyrun {
class TimerService;
}
namespace fireflyrun::http {
class Client;
}
namespace fireflyrun::membership {
class Membership;
struct RecordHooks;
class ZeroMqTransport;
}  // namespace fireflyrun::membership
namespace fireflyrun::records {
class Configuration;
}
namespace fireflyrun::store {
class KeyBinder;
class ObservedStore;
class RecordSource;
class Roster;
}  // namespace fireflyrun::store

namespace fireflyrun::node {

class MembershipLog;
class NodeMetrics;
class RecordKeeper;

/// What a node shares with the fleet and the platform: membership, records, the roster, and the
/// bindings of callers' keys.
class ControlPlane {
 public:
  ControlPlane(TimerService& timer_service, http::Client& http_client,
               const NodeSettings& node_settings, std::uint64_t own_incarnation,
               const PlatformAdapter& platform);
  ~ControlPlane();
  ControlPlane(const ControlPlane&) = delete;
  ControlPlane& operator=(const ControlPlane&) = delete;

  /// All components of the control plane as one, for the node's supervisor. `ticket_window` gives
  /// the local target's current ticket window, which membership announces to the fleet.
  Component AsComponent(std::function<std::uint32_t()> ticket_window);
  void AddMetrics(NodeMetrics* metrics) const;

  membership::Membership& Fleet() { return *this->membership; }
  /// True once another node answered, none seemed to exist, or the discovery limit has passed; it
  /// stays true, so that a node that is ready doesn't take that back.
  bool HasDiscoveredFleet() const;
  /// True while this node knows of no undiscovered member: another node answered or none exists,
  /// and all nodes that the roster last named are members.
  bool HasDiscoveredAllMembers() const;
  /// Removes this node's roster entry, without waiting for the store.
  void LeaveRoster();
  const RecordKeeper& Records() const { return *this->records; }
  /// `hook` runs whenever the records in force change.
  void OnConfiguration(std::function<void(const records::Configuration&)> hook);

  /// Binds a key to a ticket in the store; kStoreUnavailable without a store.
  void BindKey(const std::string& service, const std::string& key, std::string proposed,
               const DispatchServices::TicketHandler& handler);
  /// Moves a binding from a voided ticket to its successor.
  void MoveKey(const std::string& service, const std::string& key, std::string from, std::string to,
               const DispatchServices::TicketHandler& handler);

 private:
  void CreateStore(http::Client& client, const PlatformAdapter& platform);
  void CreateMembership(std::uint64_t incarnation);
  membership::RecordHooks MembershipHooks();
  Component MembershipComponent();
  Component RecordsComponent();
  Component RosterComponent();
  void RefreshContacts();
  bool AllRosterNodesPresent() const;

  TimerService& timers;
  const NodeSettings& settings;
  std::unique_ptr<store::ObservedStore> store;
  std::unique_ptr<store::RecordSource> record_source;
  std::unique_ptr<store::KeyBinder> key_binder;
  std::unique_ptr<store::Roster> roster;
  std::unique_ptr<RecordKeeper> records;
  std::unique_ptr<membership::ZeroMqTransport> transport;
  std::unique_ptr<membership::Membership> membership;
  std::unique_ptr<MembershipLog> membership_log;
  Supervisor supervisor;
  std::function<std::uint32_t()> current_window;
  TimerSubscription window_timer;
  TimerSubscription contact_timer;
  unsigned contact_rounds = 0;
  /// Other nodes that the roster last named; nullopt until it is read.
  std::optional<std::vector<std::string>> roster_nodes;
  /// The roster names no other node; without a roster, the seeds name none.
  bool seems_alone = false;
  bool seemed_alone = false;  ///< At any time since the start.
  bool left_roster = false;
  SteadyTime started;
};

}  // namespace fireflyrun::node
