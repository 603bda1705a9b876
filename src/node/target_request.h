#pragma once

#include <string>

#include "common/clock.h"
#include "common/id128.h"
#include "http/headers.h"
#include "http/target_request.h"
#include "peer/call.h"

namespace fireflyrun::node {

struct TargetAddress;
struct WireNames;

/// Builds the HTTP request that passes a call to the target: the caller's own headers, the handle,
/// the deadline and, where the site uses it, the intended target's id. The body is left to be moved
/// in.
http::TargetRequest BuildTargetRequest(const peer::Call& call, const TargetAddress& target,
                                       const Id128& handle, SteadyTime deadline,
                                       const WireNames& wire);

/// Copies the end-to-end headers of the target's answer.
void CopyAnswerHeaders(const http::Headers& headers, peer::pb::AnswerHead* head);

/// True for headers that belong to one connection or to the nodes themselves and are not forwarded.
bool IsConnectionOrNodeHeader(std::string_view name);

/// True for headers that the nodes set themselves, replacing what the caller sent.
bool IsReplacedHeader(std::string_view name, const WireNames& wire);

}  // namespace fireflyrun::node
