#pragma once

#include <optional>

#include "peer/peer_address.h"
#include "policy/ticket.h"

namespace fireflyrun::node {

/// Destination and ticket of one attempt of a call.
struct Attempt {
  peer::PeerAddress address;
  std::optional<policy::Ticket> ticket;
  std::optional<policy::Ticket> successor;  ///< Proposed replacement in case the ticket is refused.
};

}  // namespace fireflyrun::node
