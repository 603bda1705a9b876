#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "common/clock.h"
#include "common/id128.h"
#include "http/headers.h"
#include "node/ticket_source.h"
#include "policy/call_class.h"
#include "policy/priority_key.h"
#include "policy/retry_allotment.h"
#include "records/book_revision.h"
#include "records/call_policy.h"

namespace fireflyrun::node {

struct CallContext;

/// A call to a target of a service, at the node where it starts.
struct OutboundCall {
  Id128 root_id;
  std::string request_id;          ///< Identifies the call in the log.
  records::BookRevision revision;  ///< Revision of the records that routed it.
  SteadyTime deadline;
  std::shared_ptr<const records::CallPolicy> route;
  policy::CallClass call_class;  ///< The parent's, or the route's without a parent.
  policy::PriorityKey key;
  std::string tenant;
  std::uint32_t depth = 0;
  std::shared_ptr<policy::RetryAllotment> allotment;
  std::string method;
  std::string target;  ///< Path and query, without the service's segment.
  http::Headers headers;
  std::string body;
  TicketSource ticket_source = TicketSource::kNone;
  std::string idempotency_key;
  std::shared_ptr<CallContext> parent;  ///< Null for a call from outside.
};

}  // namespace fireflyrun::node
