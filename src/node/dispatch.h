#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/id128.h"
#include "common/timer_subscription.h"
#include "node/attempt.h"
#include "node/attempt_result.h"
#include "node/call_result.h"
#include "node/dispatch_services.h"
#include "node/outbound_call.h"
#include "node/request_trace.h"
#include "policy/target_query.h"
#include "policy/ticket.h"

namespace fireflyrun::node {

/// One outbound call in progress: chooses targets, sends attempts, decides on retries and moves,
/// and tracks whether the call ran or may have run.
class Dispatch : public std::enable_shared_from_this<Dispatch> {
 public:
  using Handler = std::function<void(CallResult)>;

  Dispatch(const DispatchServices& used_services, OutboundCall outbound, Handler on_end);

  /// Runs the first step on a later turn of the event loop.
  void Start();

  /// Cancels the current attempt; the handler does not run.
  void Cancel();

  /// Ends the call with `why`. At a deadline, which the current attempt shares, first waits for the
  /// attempt to report whether it ran.
  void OnParentEnded(policy::RefusalReason why);

  /// Ends the call at the end of the node's drain; it may have run if an attempt is in progress.
  void OnDrainEnded();

  /// Stops the call without running the handler or cancelling the attempt; for the destruction of
  /// the node.
  void Abandon();

 private:
  void Step();
  bool MayStillStart() const;
  /// Why a stopping node ends the call. kLeaving is answered as not run, so it is no reason once an
  /// attempt was sent that may have run.
  policy::RefusalReason ReasonToStop() const;
  policy::TargetQuery MakeQuery() const;
  void SendIdempotent();
  void ResolveTicket();
  void ResolveCallerTicket();
  void ResolveParentTicket();
  void ResolveStoreTicket();
  /// `own`: no other request holds the ticket, so nothing can have run under it yet.
  void UseTicket(const policy::Ticket& current, bool own);
  void SendTicketed();
  std::optional<policy::Ticket> ProposeTicket(const policy::TargetQuery& query);
  std::optional<policy::Ticket> ProposeFirstTicket();
  void SendAttempt(Attempt attempt);
  void OnAttempt(AttemptResult result);
  void OnIdempotentRefusal(const AttemptResult& result);
  void OnTicketedRefusal(const AttemptResult& result);
  void FollowSuccessor(const policy::Ticket& successor);
  /// Schedules another attempt if a move (after `move_delay`) or a retry is allowed; otherwise ends
  /// the call.
  void Repeat(const AttemptResult& result, Duration move_delay, const std::function<void()>& again);
  void TraceNotRepeated(const AttemptResult& result);
  bool MayMove(const AttemptResult& result);
  bool MayRetry(const AttemptResult& result);
  void After(Duration delay, std::function<void()> step);
  void FinishAnswered(AttemptResult result);
  void FinishRefused(const AttemptResult& result);
  void FinishRefused(policy::RefusalReason reason);
  void Finish(CallResult result);
  peer::pb::Outcome OverallOutcome(peer::pb::Outcome last) const;

  DispatchServices services;
  OutboundCall call;
  Handler handler;
  TimerSubscription timer;
  RequestTrace trace;
  std::optional<Id128> attempt_id;
  std::optional<policy::Ticket> ticket;
  std::optional<policy::Ticket> proposed_successor;
  std::vector<std::string> tried;
  std::uint32_t retries = 0;
  std::uint32_t moves = 0;
  std::uint32_t fixed_retries_left = 0;
  bool may_have_run;  ///< Under the key or ticket, or in an attempt with unknown outcome.
  bool ran = false;   ///< An attempt is known to have run.
  bool ended = false;
};

}  // namespace fireflyrun::node
