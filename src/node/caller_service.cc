#include "node/caller_service.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "common/random.h"
#include "http/request_target.h"
#include "http/status.h"
#include "node/call_context.h"
#include "node/call_dispatcher.h"
#include "node/call_result.h"
#include "node/context_table.h"
#include "node/header_names.h"
#include "node/refusal_response.h"
#include "node/request_log.h"
#include "node/target_request.h"
#include "policy/ticket.h"
#include "records/configuration.h"

namespace fireflyrun::node {
namespace {

using peer::pb::Outcome;
using policy::RefusalReason;

constexpr std::string_view kHostHeader = "Host";
constexpr std::string_view kTicketsService = "tickets";
constexpr std::size_t kMaxKeyLength = 255;
constexpr std::uint64_t kMaxDeadlineMs = 600'000;
constexpr std::uint32_t kMaxDepth = 64;
constexpr int kCreatedStatus = 201;

bool IsServerError(const CallResult& result) {
  return !result.Answered() || http::IsServerError(result.status);
}

/// Records a child call's result in its parent's context.
void RecordChildResult(const CallResult& result, CallContext* parent) {
  // Parent and child share one priority key, so the child's level also applies to the parent.
  parent->tightest_level = std::min(parent->tightest_level, result.level);
  if (!IsServerError(result)) return;
  parent->child_failed = true;
  parent->child_final = parent->child_final || result.final;
}

void CopyCallerHeaders(const http::Headers& headers, const WireNames& wire, http::Headers* out) {
  for (const auto& header : headers) {
    const bool replaced =
        IsConnectionOrNodeHeader(header.name) || IsReplacedHeader(header.name, wire);
    if (!replaced) out->push_back(header);
  }
}

/// A node without records doesn't know the outcome of earlier requests with the same key, nor is it
/// looked up for a call whose parent was cancelled.
Outcome OutcomeOfRefused(RefusalReason reason, const http::Headers& headers) {
  const bool has_key = http::FindHeader(headers, kIdempotencyKeyHeader).has_value();
  const bool may_have_run =
      reason == RefusalReason::kNotReady || reason == RefusalReason::kParentCancelled;
  const bool outcome_unknown = may_have_run && has_key;
  return outcome_unknown ? Outcome::OUTCOME_UNKNOWN : Outcome::OUTCOME_NOT_RUN;
}

bool IsValidIdempotencyKey(std::string_view key) {
  const bool printable =
      std::all_of(key.begin(), key.end(), [](char c) { return c > ' ' && c < '\x7f'; });
  return !key.empty() && key.size() <= kMaxKeyLength && printable;
}

}  // namespace

CallerService::CallerService(CallDispatcher& call_dispatcher, ContextTable& context_table,
                             WireNames wire_names, Hooks service_hooks)
    : dispatcher(call_dispatcher),
      contexts(context_table),
      wire(std::move(wire_names)),
      weighted_round_robin([](std::uint64_t bound) { return RandomBelow(bound); }),
      hooks(std::move(service_hooks)) {}

void CallerService::OnRequest(http::Request request,
                              const std::shared_ptr<http::Exchange>& exchange) {
  const auto configuration = this->hooks.configuration();
  if (!configuration) {
    this->Refuse({RefusalReason::kNotReady, "this node has no records yet"}, request.headers,
                 *exchange);
    return;
  }
  const auto host = http::FindHeader(request.headers, kHostHeader).value_or("");
  const records::RouteEntry* route = configuration->FindRoute(host, request.target);
  if (route == nullptr) {
    this->OnServiceRequest(std::move(request), configuration, exchange);
    return;
  }
  auto policy = this->ChoosePolicy(configuration, *route);
  if (policy) {
    this->OnRoutedRequest(std::move(request), std::move(*policy), exchange);
  } else {
    this->Refuse(policy.error(), Outcome::OUTCOME_NOT_RUN, request.headers, *exchange);
  }
}

tl::expected<CallerService::PolicyPointer, CallerService::Refusal> CallerService::ChoosePolicy(
    const std::shared_ptr<const records::Configuration>& configuration,
    const records::RouteEntry& route) {
  if (!route.refusal.empty()) {
    return tl::unexpected(Refusal{RefusalReason::kRouteUnusable, route.refusal});
  }
  const std::size_t index = this->weighted_round_robin.Pick(route.name, route.weights);
  const records::WeightedPolicy& part = route.policies[index];
  if (!part.refusal.empty()) {
    return tl::unexpected(Refusal{RefusalReason::kRouteUnusable, "the route " + part.refusal});
  }
  return PolicyPointer(configuration, &part.policy);
}

void CallerService::OnRoutedRequest(http::Request request, PolicyPointer route,
                                    const std::shared_ptr<http::Exchange>& exchange) {
  auto target = request.target;
  const auto host = http::FindHeader(request.headers, kHostHeader);
  const http::Header host_header{std::string(kHostHeader), std::string(host.value_or(""))};
  const bool first_on_connection = request.sequence == 0;
  auto call = this->BuildCall(&request, std::move(route));
  if (!call) {
    this->Refuse(call.error(), request.headers, *exchange);
    return;
  }
  if (this->RefuseIfStopping(*call, first_on_connection, *exchange)) return;
  call->target = std::move(target);
  call->headers.push_back(host_header);
  // Each routed request is one call, and only the node where it arrives can forward it.
  if (!call->route->idempotent) call->ticket_source = TicketSource::kFresh;
  this->Dispatch(std::move(*call), exchange);
}

void CallerService::OnServiceRequest(
    http::Request request, const std::shared_ptr<const records::Configuration>& configuration,
    const std::shared_ptr<http::Exchange>& exchange) {
  const auto target = http::SplitTarget(request.target);
  if (!target) {
    this->Refuse(
        {RefusalReason::kBadRequest, "the request target is not /SERVICE or /SERVICE/PATH"},
        request.headers, *exchange);
    return;
  }
  if (target->service == kTicketsService) {
    this->IssueTicket(*target, *exchange);
    return;
  }
  const bool first_on_connection = request.sequence == 0;
  auto call = this->BuildServiceCall(&request, *target, configuration);
  if (!call) {
    this->Refuse(call.error(), request.headers, *exchange);
    return;
  }
  if (this->RefuseIfStopping(*call, first_on_connection, *exchange)) return;
  this->Dispatch(std::move(*call), exchange);
}

bool CallerService::RefuseIfStopping(const OutboundCall& call, bool first_on_connection,
                                     http::Exchange& exchange) const {
  // Calls of the local target are accepted for longer, on new connections too, so that it can
  // finish what it runs.
  const bool from_outside = call.parent == nullptr;
  const bool refuses = from_outside && this->hooks.refuses_new_calls(first_on_connection);
  if (!refuses && this->hooks.may_start(call)) return false;
  if (call.parent) call.parent->child_failed = true;
  const bool has_key = call.ticket_source != TicketSource::kNone;
  const auto outcome = has_key ? Outcome::OUTCOME_UNKNOWN : Outcome::OUTCOME_NOT_RUN;
  this->Refuse({RefusalReason::kLeaving, "this node is stopping"}, outcome, call.headers, exchange);
  return true;
}

void CallerService::Refuse(const Refusal& refusal, const http::Headers& headers,
                           http::Exchange& exchange) const {
  this->Refuse(refusal, OutcomeOfRefused(refusal.reason, headers), headers, exchange);
}

void CallerService::Refuse(const Refusal& refusal, Outcome outcome, const http::Headers& headers,
                           http::Exchange& exchange) const {
  LogRefusedRequest(headers, this->wire, this->hooks.configuration().get(), refusal.reason,
                    refusal.detail, outcome);
  this->Respond(RefusalResponse(refusal.reason, refusal.detail, outcome, this->wire), exchange);
}

tl::expected<OutboundCall, CallerService::Refusal> CallerService::BuildServiceCall(
    http::Request* request, const http::RequestTarget& target,
    const std::shared_ptr<const records::Configuration>& configuration) const {
  const auto* route = configuration->FindCallPolicy(target.service, request->method, target.path);
  if (route == nullptr) {
    return tl::unexpected(
        Refusal{RefusalReason::kUnknownService,
                "no record describes the service \"" + std::string(target.service) + "\""});
  }
  std::string path_and_query(target.path);
  if (!target.query.empty()) path_and_query += '?' + std::string(target.query);
  auto call = this->BuildCall(request, PolicyPointer(configuration, route));
  if (!call) return call;
  call->target = std::move(path_and_query);
  if (auto set = this->SetTicketSource(*request, &*call); !set) return tl::unexpected(set.error());
  return call;
}

tl::expected<OutboundCall, CallerService::Refusal> CallerService::BuildCall(
    http::Request* request, PolicyPointer route) const {
  if (request->body.size() > route->max_body_bytes) {
    return tl::unexpected(
        Refusal{RefusalReason::kBodyTooLarge,
                "the body is larger than " + std::to_string(route->max_body_bytes) + " bytes"});
  }
  OutboundCall call;
  call.call_class = {route->class_name, static_cast<std::uint32_t>(route->rank),
                     route->may_leave_region};
  call.tenant = request->remote_address;
  call.method = request->method;
  const auto handle = this->wire.handle.empty()
                          ? std::nullopt
                          : http::FindHeader(request->headers, this->wire.handle);
  const auto parent_id = this->ParentIdOf(*request);
  const auto parent = handle ? this->contexts.Find(*handle) : this->contexts.FindRequest(parent_id);
  if (!parent && this->contexts.IsCancelled(handle ? *handle : parent_id)) {
    return tl::unexpected(
        Refusal{RefusalReason::kParentCancelled, "the caller of the parent call has disconnected"});
  }
  call.route = std::move(route);
  if (parent) {
    this->InheritFrom(parent, &call);
  } else {
    call.root_id = Id128::Random();
    // A handle of an ended or unknown call grants no retries.
    const auto retries =
        handle ? 0U : static_cast<std::uint32_t>(call.route->retry.retries_per_request);
    call.allotment = std::make_shared<policy::RetryAllotment>(retries);
  }
  call.request_id = RequestIdOf(request->headers, this->wire, call.root_id);
  call.revision = this->hooks.configuration()->Revision();
  if (call.depth > kMaxDepth) {
    return tl::unexpected(Refusal{RefusalReason::kBadRequest, "the chain of calls is too deep"});
  }
  call.key = policy::KeyFor(call.call_class.rank, call.root_id);
  if (auto set = this->SetDeadline(*request, &call); !set) return tl::unexpected(set.error());
  CopyCallerHeaders(request->headers, this->wire, &call.headers);
  if (!this->wire.caller_service.empty()) {
    call.headers.push_back({this->wire.caller_service, this->hooks.own_service()});
  }
  call.body = std::move(request->body);
  return call;
}

std::string_view CallerService::ParentIdOf(const http::Request& request) const {
  if (this->wire.child_separator.empty()) return {};
  const auto id = http::FindHeader(request.headers, this->wire.request_id).value_or("");
  const auto separator = id.rfind(this->wire.child_separator);
  return separator == std::string_view::npos ? std::string_view() : id.substr(0, separator);
}

void CallerService::InheritFrom(const std::shared_ptr<CallContext>& parent,
                                OutboundCall* call) const {
  call->parent = parent;
  call->root_id = parent->root_id;
  call->tenant = parent->tenant;
  call->depth = parent->depth + 1;
  call->allotment = parent->allotment;
  // A request succeeds only if every call made for it does, and none of them may take precedence
  // over another request that is more urgent than the whole request.
  call->call_class = parent->call_class;
}

tl::expected<void, CallerService::Refusal> CallerService::SetDeadline(const http::Request& request,
                                                                      OutboundCall* call) const {
  const SteadyTime arrived = SteadyClock::now() - request.unread_time;
  call->deadline = arrived + call->route->deadline;
  if (call->parent) call->deadline = std::min(call->deadline, call->parent->deadline);
  if (this->wire.deadline.empty()) return {};
  const auto header = http::FindHeader(request.headers, this->wire.deadline);
  if (!header) return {};
  std::uint64_t left_ms = 0;
  const auto [end, error] =
      std::from_chars(header->data(), header->data() + header->size(), left_ms);
  const bool is_whole_number = error == std::errc{} && end == header->data() + header->size();
  if (!is_whole_number || left_ms > kMaxDeadlineMs) {
    return tl::unexpected(Refusal{RefusalReason::kBadRequest,
                                  this->wire.deadline + " is not a whole number of 0 to 600000"});
  }
  call->deadline = std::min(call->deadline, arrived + std::chrono::milliseconds(left_ms));
  return {};
}

tl::expected<void, CallerService::Refusal> CallerService::SetTicketSource(
    const http::Request& request, OutboundCall* call) const {
  if (call->route->idempotent) return {};
  const auto key = http::FindHeader(request.headers, kIdempotencyKeyHeader);
  if (key && !IsValidIdempotencyKey(*key)) {
    return tl::unexpected(Refusal{RefusalReason::kBadRequest,
                                  "Idempotency-Key is not 1 to 255 printable characters"});
  }
  const bool parent_runs_once = call->parent && call->parent->at_most_once;
  if (!key && !parent_runs_once) {
    return tl::unexpected(
        Refusal{RefusalReason::kBadRequest,
                "the call is not idempotent and needs an Idempotency-Key: its own or a ticket from "
                "POST /tickets/" +
                    call->route->service});
  }
  call->idempotency_key = key ? std::string(*key) : std::string();
  if (key && policy::Ticket::FromText(*key)) {
    call->ticket_source = TicketSource::kCaller;
  } else if (parent_runs_once) {
    call->ticket_source = key ? TicketSource::kParent : TicketSource::kFresh;
  } else {
    call->ticket_source = TicketSource::kStore;
  }
  return {};
}

void CallerService::IssueTicket(const http::RequestTarget& target, http::Exchange& exchange) const {
  const auto configuration = this->hooks.configuration();
  const std::string service(target.path.substr(1));
  const auto* route = configuration ? configuration->FindCallPolicy(service, "POST", "/") : nullptr;
  if (route == nullptr) {
    LogRefusedRequest({}, this->wire, configuration.get(),
                      configuration ? RefusalReason::kUnknownService : RefusalReason::kNotReady,
                      "a ticket was requested", Outcome::OUTCOME_NOT_RUN);
    this->Respond(
        RefusalResponse(configuration ? RefusalReason::kUnknownService : RefusalReason::kNotReady,
                        "no record describes the service \"" + service + "\"",
                        Outcome::OUTCOME_NOT_RUN, this->wire),
        exchange);
    return;
  }
  const auto ticket = this->hooks.issue_ticket(*route);
  if (!ticket) {
    LogRefusedRequest({}, this->wire, configuration.get(), RefusalReason::kNoTarget,
                      "a ticket was requested", Outcome::OUTCOME_NOT_RUN);
    this->Respond(RefusalResponse(RefusalReason::kNoTarget, "the service has no target",
                                  Outcome::OUTCOME_NOT_RUN, this->wire),
                  exchange);
    return;
  }
  http::Response response;
  response.status = kCreatedStatus;
  response.headers.push_back({"Content-Type", "application/json"});
  response.body = R"({"ticket":")" + *ticket + R"("})";
  this->Respond(std::move(response), exchange);
}

void CallerService::Dispatch(OutboundCall call, const std::shared_ptr<http::Exchange>& exchange) {
  const SteadyTime started = SteadyClock::now();
  const auto parent = call.parent;
  // Copy for use at the end of the call, without the headers and body, which may be large.
  auto headers = std::exchange(call.headers, {});
  auto body = std::exchange(call.body, {});
  const auto described = std::make_shared<const OutboundCall>(call);
  call.headers = std::move(headers);
  call.body = std::move(body);
  const auto child_id = std::make_shared<CallDispatcher::DispatchId>(0);
  const auto id = this->dispatcher.Start(
      std::move(call), [this, described, started, exchange, child_id](CallResult result) {
        if (described->parent) described->parent->child_end_callbacks.erase(*child_id);
        this->OnEnded(*described, std::move(result), started, *exchange);
      });
  *child_id = id;
  if (parent) {
    parent->child_end_callbacks[id] = [this, id](RefusalReason why) {
      this->dispatcher.OnParentEnded(id, why);
    };
  }
  exchange->OnCallerGone([this, id, parent] {
    if (parent) parent->child_end_callbacks.erase(id);
    this->dispatcher.Cancel(id);
  });
}

void CallerService::OnEnded(const OutboundCall& call, CallResult result, SteadyTime started,
                            http::Exchange& exchange) const {
  const Duration latency = SteadyClock::now() - started;
  this->hooks.on_ended(call, result, latency);
  LogCallEnded(call, result, latency, this->wire);
  if (call.parent) RecordChildResult(result, call.parent.get());
  if (!result.Answered()) {
    this->Respond(RefusalResponse(result, this->wire), exchange);
    return;
  }
  http::Response response;
  response.status = result.status;
  response.headers = std::move(result.headers);
  if (IsServerError(result) && !this->wire.outcome.empty()) {
    response.headers.push_back({this->wire.outcome, "ran"});
  }
  response.body = std::move(result.body);
  this->Respond(std::move(response), exchange);
}

void CallerService::Respond(http::Response response, http::Exchange& exchange) const {
  if (this->hooks.stopping()) response.headers.push_back({"Connection", "close"});
  exchange.Respond(std::move(response));
}

}  // namespace fireflyrun::node
