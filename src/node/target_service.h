#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "common/clock.h"
#include "common/id128.h"
#include "common/timer_subscription.h"
#include "http/target_client.h"
#include "node/admission_log.h"
#include "node/cancel_stage.h"
#include "node/inbound_call.h"
#include "node/target_address.h"
#include "node/wire_names.h"
#include "peer/link_server.h"
#include "policy/admission_controller.h"
#include "policy/refusal_reason.h"
#include "policy/ticket_ledger.h"

namespace fireflyrun {
class TimerService;
}

namespace fireflyrun::records {
struct ServicePolicy;
}

namespace fireflyrun::node {

class ContextTable;
struct TargetLogContext;

/// The target's side of a node: admits calls, keeps the ledger of tickets, sends calls to the local
/// target over HTTP and answers them. A call refused here was not run and never runs under its
/// ticket.
class TargetService {
 public:
  using Reply = peer::LinkServer::Reply;

  struct Options {
    std::string node;
    std::uint64_t incarnation = 0;
    std::size_t max_body_bytes = 0;
    bool admit_all = false;  ///< Baseline for benchmarks: no shedding, first in first out.
    WireNames wire = {};
    policy::AdmissionOptions admission = {};
    std::shared_ptr<policy::HeldBytes> held_bytes = nullptr;  ///< Counts the bodies of calls.
  };

  struct Hooks {
    /// A call left the queue for the target, was refused, or was answered.
    std::function<void(const InboundCall&, Duration queue_time)> on_admitted;
    std::function<void(const InboundCall&, policy::RefusalReason)> on_refused;
    std::function<void(const InboundCall&, Duration service_time)> on_answered;
    /// The policy of a service in the records in force; null if they have none.
    std::function<const records::ServicePolicy*(const std::string& service)> service_policy;
  };

  TargetService(TimerService& timer_service, http::TargetClient& http_client,
                ContextTable& context_table, Options service_options, Hooks service_hooks);
  ~TargetService();
  TargetService(const TargetService&) = delete;
  TargetService& operator=(const TargetService&) = delete;

  /// Sets or changes the target; calls in flight continue.
  void SetTarget(TargetAddress address);
  /// Applies the records in force.
  void OnConfiguration();
  /// Removes the target, because it has sent no announcement for too long.
  void WithdrawTarget();
  /// While leaving, takes no new calls; running calls finish.
  void SetLeaving(bool is_leaving);

  /// Takes one call; `reply` is used exactly once, unless the call is cancelled after it joined
  /// another with the same ticket.
  void OnCall(peer::Call call, Reply reply);
  /// Handles the loss of a caller. A call that nobody waits for any more is dropped unless it has
  /// been sent to the target; if it has, it is ended there too where it is idempotent.
  void OnCancel(const Id128& call_id);

  std::uint32_t TicketWindow();
  policy::Ticket IssueOwnTicket();

  std::size_t OpenCalls() const { return this->calls.size(); }
  std::uint64_t CancelledCalls(CancelStage stage) const {
    return this->cancelled_calls[static_cast<std::size_t>(stage)];
  }
  /// Calls that the target at `address` runs, and those waiting for it.
  std::size_t OpenCallsOf(const std::string& address) const;
  /// Null while there is none.
  const TargetAddress* Target() const { return this->target ? &*this->target : nullptr; }
  const policy::AdmissionController& Admission() const { return this->admission; }
  const policy::TicketLedger& Ledger() const { return this->ledger; }

 private:
  using CallPointer = std::shared_ptr<InboundCall>;

  /// Limits the target's connections to its record's limit, and its calls to the lower of that
  /// limit and its slots.
  void ApplyLimits();
  bool ClaimTicket(const CallPointer& inbound);
  void Join(const CallPointer& inbound);
  void Offer(const CallPointer& inbound);
  /// Sets the timer for the admission's next tick, if it needs one.
  void TickWhenDue();
  /// Starts a call that has waited, unless a cancel has arrived that is still unread.
  void StartQueuedCall(const Id128& id);
  void StartCall(const Id128& id);
  /// Why the call must not start now, whatever the admission says; kNone if it may.
  policy::RefusalReason ReasonToRefuse(const InboundCall& inbound) const;
  void SendToTarget(const CallPointer& inbound);
  void OnTargetEnded(const CallPointer& inbound,
                     tl::expected<http::Response, http::ClientError> ended);
  /// True when the target reports that it has not run the call.
  bool ReportsNotRun(const http::Response& response) const;
  void OnTargetRefusal(const CallPointer& inbound);
  void OnTargetAnswer(const CallPointer& inbound, http::Response response);
  void OnTargetError(const CallPointer& inbound, const http::ClientError& error);
  void Refuse(const CallPointer& inbound, policy::RefusalReason reason);
  /// Voids the ticket, if there is one, and answers that the call has not run.
  void AnswerNotRun(const CallPointer& inbound, policy::RefusalReason reason);
  /// Removes one of those that wait for a call; returns the call.
  CallPointer RemoveCaller(const Id128& call_id);
  /// Ends a call that nobody waits for, as far as it may be ended.
  CancelStage Drop(const CallPointer& inbound);
  /// Answers the call and all calls joined to it, and removes it.
  void Answer(const CallPointer& inbound, peer::Answer answer);
  void ReplyTo(const std::string& call_id, const Reply& reply, std::uint32_t unused_retries,
               peer::Answer answer);
  void FillLoad(peer::pb::AnswerHead* head, const InboundCall& inbound);
  /// Ends the child calls still in progress with `why`, or with kDeadline when the deadline has
  /// passed.
  void EndContext(const CallPointer& inbound, policy::RefusalReason why);
  CallPointer Find(const Id128& id) const;
  TargetLogContext LogContext(const InboundCall& inbound) const;

  TimerService& timers;
  http::TargetClient& client;
  ContextTable& contexts;
  Options options;
  Hooks hooks;
  policy::TicketLedger ledger;
  policy::AdmissionController admission;
  std::optional<TargetAddress> target;
  bool leaving = false;
  std::unordered_map<Id128, CallPointer> calls;
  std::unordered_map<Id128, Id128> running_tickets;  ///< Ticket nonce to the id of its call.
  std::unordered_map<Id128, Id128> joined_calls;     ///< Their ids to those of the calls joined.
  std::array<std::uint64_t, kCancelStageNames.Entries().size()> cancelled_calls{};
  AdmissionLog admission_log;
  bool tick_due = false;
  Duration tick_delay = Duration::zero();
  TimerSubscription tick_timer;
  std::optional<Id128> offered;  ///< The call that the admission is being offered.
  /// Expires with the service; whatever is queued on the loop checks it first.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace fireflyrun::node
