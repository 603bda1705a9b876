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

/// The control part of a node: who is in the fleet, who can be reached, and the spread of records.
/// Lives on the event loop's thread.
class Membership {
 public:
  /// Sends bytes to the control address IP:PORT; never blocks, may lose messages.
  using SendHook = std::function<void(const std::string&, std::string)>;
  using FleetHandler = std::function<void(FleetReport)>;

  Membership(TimerService& timers, MembershipOptions options, SendHook send, RecordHooks records);
  ~Membership();
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  /// Begins to ping, spread and, until a first answer, to ask the contacts for the fleet.
  void Start();
  /// Another control address IP:PORT to ask for the fleet (a seed or one of the roster). Also a way
  /// to heal a fleet that was split: contacts unknown to the view are asked even later.
  void AddContact(const std::string& address);
  /// True once any other node has answered.
  bool HasJoined() const;
  /// Gives one message that the transport received.
  void OnMessage(std::string_view bytes);

  void AnnounceTarget(const std::string& service, std::uint32_t slots);
  void SetTargetState(TargetState state);
  void SetTicketWindow(std::uint32_t window);
  /// Tells all that this node has left for good; spread at once.
  void SetStopped();
  /// SetStopped, then calls `done` once the news has been handed to the transport and repeated.
  void Leave(std::function<void()> done);

  const View& GetView() const;
  /// Subscribes to changes of the view; see View::Subscribe.
  std::size_t Subscribe(View::Hook hook);
  void Unsubscribe(std::size_t id);

  /// What the data path saw of a node; a failure prompts a ping at once.
  void ReportFailure(const std::string& node);
  void ReportSuccess(const std::string& node);

  /// True while this node is a delegate of its zone and should run the store watch.
  bool ShouldWatchStore() const;
  /// Spreads a change set (serialized pb::ChangeSet) that this node took from the store and has
  /// already applied.
  void PublishChangeSet(std::string_view change_set);

  /// Asks the fleet and calls `handler` once, at most `fleet_timeout` later.
  void CollectFleet(FleetHandler handler);

  const ControlCounters& Counters() const;
  /// Names used twice and messages of other clusters.
  Findings Problems() const;

 private:
  struct Parts;
  std::unique_ptr<Parts> parts;
};

}  // namespace fireflyrun::membership
