#pragma once

#include <string>

#include "common/clock.h"
#include "common/id128.h"
#include "http/client_request.h"
#include "http/headers.h"
#include "peer/call.h"

namespace fireflyrun::node {

/// The HTTP request by which a call is handed to the target at `address` (`IP:PORT`): the caller's
/// own headers, and Firefly-Request and Firefly-Deadline-Ms. Its timeout is the time left.
http::ClientRequest BuildTargetRequest(const peer::Call& call, const std::string& address,
                                       const Id128& handle, SteadyTime deadline);

/// Copies the end-to-end headers of the target's answer.
void CopyAnswerHeaders(const http::Headers& headers, peer::pb::AnswerHead* head);

/// True for headers that belong to one connection or to the nodes themselves and are not passed on.
bool IsOwnHeader(std::string_view name);

}  // namespace fireflyrun::node
