#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "common/finding.h"
#include "common/timer_service.h"
#include "membership/control_counters.h"
#include "membership/fleet_report.h"
#include "membership/membership_options.h"
#include "membership/record_hooks.h"
#include "membership/view.h"

namespace fireflyrun::membership {

/// The membership protocol of a node: the members of the fleet, their reachability, and the
/// distribution of records. Used only on the event loop's thread.
class Membership {
 public:
  /// Sends bytes to a control address IP:PORT; must not block, may lose messages.
  using SendHook = std::function<void(const std::string&, std::string)>;
  using FleetHandler = std::function<void(FleetReport)>;

  Membership(TimerService& timers, MembershipOptions options, SendHook send, RecordHooks records);
  ~Membership();
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  /// Starts pings and gossip, and sends join requests to the contacts until one responds.
  void Start();
  /// Adds a control address IP:PORT (a seed or a roster entry) to which join requests are sent.
  /// Contacts that are not in the view receive them after the join as well, which merges a fleet
  /// that was split.
  void AddContact(const std::string& address);
  /// True once any other node has responded.
  bool HasJoined() const;
  /// Handles one message received by the transport.
  void OnMessage(std::string_view bytes);

  void AnnounceTarget(const std::string& service, std::uint32_t slots);
  void SetTargetState(TargetState state);
  void SetTicketWindow(std::uint32_t window);
  /// Announces at once that this node has left the fleet permanently.
  void SetStopped();
  /// Calls SetStopped(), then `done` once the announcement has been sent and repeated.
  void Leave(std::function<void()> done);

  const View& GetView() const;
  /// Subscribes to changes of the view; see View::Subscribe.
  std::size_t Subscribe(View::Hook hook);
  void Unsubscribe(std::size_t id);

  /// Reports the outcome of a call to `node` from the data path; a failure triggers a ping at once.
  void ReportFailure(const std::string& node);
  void ReportSuccess(const std::string& node);

  /// True while this node is a delegate of its zone and should run the store watch.
  bool ShouldWatchStore() const;
  /// Distributes a change set (serialized pb::ChangeSet) that this node read from the store and has
  /// already applied.
  void PublishChangeSet(std::string_view change_set);

  /// Collects the state of the fleet; calls `handler` once, after at most `fleet_timeout`.
  void CollectFleet(FleetHandler handler);

  const ControlCounters& Counters() const;
  /// Node names in use by two nodes, and messages from other clusters.
  Findings Problems() const;

 private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace fireflyrun::membership
