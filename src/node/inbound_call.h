#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "common/clock.h"
#include "common/id128.h"
#include "http/target_client.h"
#include "peer/call.h"
#include "peer/link_server.h"
#include "policy/held_bytes.h"
#include "policy/ticket.h"

namespace fireflyrun::node {

struct CallContext;

/// A call at its target's node, from its arrival to its answer.
struct InboundCall {
  /// Another call with the same ticket, which gets the same answer.
  struct JoinedCall {
    std::string call_id;
    std::uint32_t granted_retries = 0;
    peer::LinkServer::Reply reply;
  };

  bool HasExpired(SteadyTime now) const { return now >= this->deadline; }

  Id128 id;
  peer::Call call;
  policy::HeldBytesShare held;  ///< The call itself.
  peer::LinkServer::Reply reply;
  SteadyTime arrived;
  SteadyTime started;
  SteadyTime deadline;
  std::optional<policy::Ticket> ticket;
  std::shared_ptr<CallContext> context;  ///< Set once the target runs it.
  std::string target_address;            ///< Set with the context.
  http::TargetClient::RequestId request = 0;
  std::vector<JoinedCall> joined;
  bool caller_gone = false;  ///< Only the joined calls still wait for the answer.
};

}  // namespace fireflyrun::node
