#pragma once

#include <chrono>
#include <string_view>

#include "http/response.h"
#include "peer/peer.pb.h"
#include "policy/refusal_reason.h"

namespace fireflyrun::node {

struct CallResult;
struct WireNames;

/// The response to a caller whose call was refused or failed: the status, the outcome,
/// Retry-After where waiting helps, and a problem body (RFC 9457) that names the reason.
http::Response RefusalResponse(const CallResult& result, const WireNames& wire);

/// The same for a request that is refused before it becomes a call. Its `outcome` is unknown when
/// an earlier request with its key may have run.
http::Response RefusalResponse(policy::RefusalReason reason, std::string_view detail,
                               peer::pb::Outcome outcome, const WireNames& wire);

/// The status of the response to a call that was refused or failed.
int RefusalStatus(const CallResult& result, const WireNames& wire);

/// `not-run`, `ran` or `unknown`.
std::string_view OutcomeName(peer::pb::Outcome outcome);

}  // namespace fireflyrun::node
