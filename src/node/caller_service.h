#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "common/clock.h"
#include "http/exchange.h"
#include "http/request.h"
#include "node/outbound_call.h"
#include "node/wire_names.h"
#include "peer/peer.pb.h"
#include "policy/refusal_reason.h"
#include "policy/weighted_round_robin.h"

namespace fireflyrun::http {
struct RequestTarget;
}
namespace fireflyrun::records {
class Configuration;
struct RouteEntry;
}  // namespace fireflyrun::records

namespace fireflyrun::node {

class CallDispatcher;
class ContextTable;
struct CallResult;

/// The callers' side of a node: turns HTTP requests of outside callers and of the local target into
/// calls, and their results into responses.
class CallerService {
 public:
  struct Hooks {
    /// The records in force; null before the first.
    std::function<std::shared_ptr<const records::Configuration>()> configuration;
    /// Issues a ticket for a target of the service, as text; nullopt when there is no target.
    std::function<std::optional<std::string>(const records::CallPolicy&)> issue_ticket;
    /// A call ended after `latency`.
    std::function<void(const OutboundCall&, const CallResult&, Duration latency)> on_ended;
    /// True while the node stops: responses close the callers' connections.
    std::function<bool()> stopping;
    /// True for requests that arrive after callers had time to notice that the node is stopping.
    std::function<bool(bool first_on_connection)> refuses_new_calls;
    /// False while the node is stopping and the call might not end before it does.
    std::function<bool(const OutboundCall&)> may_start;
    /// The service on this host; empty while it is unknown.
    std::function<std::string()> own_service;
  };

  CallerService(CallDispatcher& call_dispatcher, ContextTable& context_table, WireNames wire_names,
                Hooks service_hooks);

  void OnRequest(http::Request request, const std::shared_ptr<http::Exchange>& exchange);

 private:
  struct Refusal {
    policy::RefusalReason reason;
    std::string detail;
  };

  using PolicyPointer = std::shared_ptr<const records::CallPolicy>;

  /// Chooses one of the route's services; an error if its calls are refused.
  tl::expected<PolicyPointer, Refusal> ChoosePolicy(
      const std::shared_ptr<const records::Configuration>& configuration,
      const records::RouteEntry& route);
  void OnRoutedRequest(http::Request request, PolicyPointer route,
                       const std::shared_ptr<http::Exchange>& exchange);
  /// Handles a request by the service that the first path segment names.
  void OnServiceRequest(http::Request request,
                        const std::shared_ptr<const records::Configuration>& configuration,
                        const std::shared_ptr<http::Exchange>& exchange);
  tl::expected<OutboundCall, Refusal> BuildServiceCall(
      http::Request* request, const http::RequestTarget& target,
      const std::shared_ptr<const records::Configuration>& configuration) const;
  /// Builds all but the target's path. Copies the headers and moves the body out of the request.
  tl::expected<OutboundCall, Refusal> BuildCall(http::Request* request, PolicyPointer route) const;
  /// Refuses a call that arrives too late at a stopping node; true if refused.
  bool RefuseIfStopping(const OutboundCall& call, bool first_on_connection,
                        http::Exchange& exchange) const;
  void Refuse(const Refusal& refusal, const http::Headers& headers, http::Exchange& exchange) const;
  void Refuse(const Refusal& refusal, peer::pb::Outcome outcome, const http::Headers& headers,
              http::Exchange& exchange) const;
  tl::expected<void, Refusal> SetDeadline(const http::Request& request, OutboundCall* call) const;
  tl::expected<void, Refusal> SetTicketSource(const http::Request& request,
                                              OutboundCall* call) const;
  /// The request id of the call for which the local target makes this one, if its own id names one;
  /// empty otherwise. Valid as long as the request.
  std::string_view ParentIdOf(const http::Request& request) const;
  void InheritFrom(const std::shared_ptr<CallContext>& parent, OutboundCall* call) const;
  void IssueTicket(const http::RequestTarget& target, http::Exchange& exchange) const;
  void Dispatch(OutboundCall call, const std::shared_ptr<http::Exchange>& exchange);
  void OnEnded(const OutboundCall& call, CallResult result, SteadyTime started,
               http::Exchange& exchange) const;
  void Respond(http::Response response, http::Exchange& exchange) const;

  CallDispatcher& dispatcher;
  ContextTable& contexts;
  WireNames wire;
  policy::WeightedRoundRobin weighted_round_robin;
  Hooks hooks;
};

}  // namespace fireflyrun::node
