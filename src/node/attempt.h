#pragma once

#include <optional>

#include "peer/peer_address.h"
#include "policy/ticket.h"

namespace fireflyrun::node {

/// Where one attempt of a call goes, and under which ticket.
struct Attempt {
  peer::PeerAddress address;
  std::optional<policy::Ticket> ticket;
  std::optional<policy::Ticket> successor;  ///< Proposed, should the ticket be refused.
};

}  // namespace fireflyrun::node
