#include "node/call_context_factory.h"

#include <string>

#include "http/headers.h"
#include "node/call_context.h"
#include "node/inbound_call.h"
#include "node/wire_names.h"

namespace fireflyrun::node {
namespace {

std::string RequestIdOf(const peer::pb::CallHead& head, const WireNames& wire) {
  for (const auto& header : head.headers()) {
    if (http::SameHeaderName(header.name(), wire.request_id)) return header.value();
  }
  return {};
}

}  // namespace

std::shared_ptr<CallContext> MakeCallContext(const InboundCall& inbound, const WireNames& wire) {
  const auto& head = inbound.call.head;
  auto context = std::make_shared<CallContext>();
  context->root_id = Id128::FromBytes(head.root_id()).value_or(Id128());
  context->deadline = inbound.deadline;
  context->call_class = {head.call_class(), head.class_rank(), head.may_leave_region()};
  context->tenant = head.tenant();
  if (!wire.child_separator.empty()) context->request_id = RequestIdOf(head, wire);
  context->depth = head.depth();
  context->at_most_once = inbound.ticket.has_value();
  context->allotment = std::make_shared<policy::RetryAllotment>(head.retry_allotment());
  return context;
}

}  // namespace fireflyrun::node
