#pragma once

#include <optional>

#include "peer/peer.pb.h"
#include "policy/ticket.h"

namespace fireflyrun::node {

/// A ticket as a message.
peer::pb::Ticket ToMessage(const policy::Ticket& ticket);

/// Nullopt for a message that holds no whole ticket.
std::optional<policy::Ticket> FromMessage(const peer::pb::Ticket& message);

}  // namespace fireflyrun::node
