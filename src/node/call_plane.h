#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>

#include "common/clock.h"
#include "common/finding.h"
#include "common/timer_subscription.h"
#include "node/attempt_sender.h"
#include "node/caller_service.h"
#include "node/component.h"
#include "node/context_table.h"
#include "node/dispatch_services.h"
#include "node/fleet_retry_share.h"
#include "node/local_calls.h"
#include "node/node_settings.h"
#include "node/retry_budgets.h"
#include "node/target_service.h"
#include "node/target_watcher.h"
#include "policy/byte_budget.h"
#include "policy/held_bytes.h"
#include "policy/target_chooser.h"

namespace fireflyrun {
class TimerService;
}
namespace fireflyrun::http {
class TargetClient;
}
namespace fireflyrun::peer {
class LinkPool;
class LinkServer;
}  // namespace fireflyrun::peer
namespace fireflyrun::records {
struct ServicePolicy;
}

namespace fireflyrun::node {

class CallDispatcher;
class ControlPlane;
class NodeMetrics;
class TargetDirectory;
class TargetProbe;
struct TargetAnnouncement;

/// The call path of a node: the callers' side, the choice of targets, the links to other nodes, and
/// the local target's side.
class CallPlane {
 public:
  CallPlane(TimerService& timer_service, http::TargetClient& http_client,
            const NodeSettings& node_settings, std::uint64_t own_incarnation,
            std::shared_ptr<policy::HeldBytes> body_bytes, ControlPlane& control_plane,
            NodeMetrics& node_metrics);
  ~CallPlane();
  CallPlane(const CallPlane&) = delete;
  CallPlane& operator=(const CallPlane&) = delete;

  /// The links to other nodes as a component of the node.
  Component LinksComponent();
  void AddMetrics(NodeMetrics* metrics) const;

  void OnRequest(http::Request request, const std::shared_ptr<http::Exchange>& exchange);
  /// Returns how many calls are running at the target or queued for it.
  tl::expected<std::size_t, Findings> OnAnnouncement(const TargetAnnouncement& announcement);
  void OnDeparture(const std::string& target_id, std::uint64_t born);
  std::string DescribeTargets() const;
  std::uint32_t TicketWindow();

  /// Applies the records that are now in force.
  void OnConfiguration();
  /// Applies the settings that can change at run time.
  void OnSettingsChanged();

  /// Directs callers to other nodes from now on; the local target takes no new calls after
  /// `StopTimes::target_service_limit`. The stop counts from `stop_began`.
  void Leave(SteadyTime stop_began);
  /// Answers the callers of all calls that still run at the end of the drain.
  void OnDrainEnded();
  bool Leaving() const { return this->leaving; }
  bool HasOpenCalls() const;
  bool HasUnclaimedAnswers() const;

 private:
  /// The metrics' hooks, extended to notify the target watcher.
  TargetService::Hooks TargetHooks();
  LocalCalls::Hooks LocalCallHooks();
  TargetWatcher::Hooks WatcherHooks();
  void AddCancelMetrics(NodeMetrics* metrics) const;
  void CreateTarget(http::TargetClient& client, std::uint64_t incarnation);
  void CreateLinks(std::uint64_t incarnation);
  AttemptSender::Hooks SenderHooks();
  DispatchServices MakeDispatchServices();
  CallerService::Hooks CallerHooks();
  void ForgetDepartedTargets();
  void SendCall(const peer::PeerAddress& address, peer::Call call, SteadyTime deadline,
                AttemptSender::AnswerHandler handler);
  /// The service on this host; empty while it is unknown.
  std::string OwnService() const;
  /// The policy of a service in the records in force, valid only for immediate use; null if they
  /// have none.
  const records::ServicePolicy* PolicyOf(const std::string& service) const;
  bool IsInOtherRegion(const std::string& node) const;
  bool MayStart(const OutboundCall& call) const;
  /// Wraps `handler` so that the answer's bytes are charged to the inter-region budget.
  AttemptSender::AnswerHandler WithLinkCharge(AttemptSender::AnswerHandler handler);
  std::optional<std::string> IssueTicket(const records::CallPolicy& route);

  TimerService& timers;
  const NodeSettings& settings;
  std::shared_ptr<policy::HeldBytes> held_bytes;
  ControlPlane& control;
  NodeMetrics& metrics;
  ContextTable contexts;
  FleetRetryShare fleet_retry_share;
  std::unique_ptr<RetryBudgets> budgets;
  policy::ByteBudget link_budget;
  policy::TargetChooser chooser;
  std::unique_ptr<TargetDirectory> directory;
  std::unique_ptr<TargetService> target;
  LocalCalls local_calls;
  std::unique_ptr<TargetProbe> target_probe;
  std::unique_ptr<TargetWatcher> target_watcher;
  std::unique_ptr<peer::LinkPool> links;
  std::unique_ptr<peer::LinkServer> link_server;
  std::unique_ptr<AttemptSender> sender;
  std::unique_ptr<CallDispatcher> dispatcher;
  std::unique_ptr<CallerService> caller_service;
  bool leaving = false;
  SteadyTime leaving_since;
  TimerSubscription target_leave_timer;
};

}  // namespace fireflyrun::node
