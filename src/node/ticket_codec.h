#pragma once

#include <optional>

#include "peer/peer.pb.h"
#include "policy/ticket.h"

namespace fireflyrun::node {

/// Converts a ticket to its protobuf message.
peer::pb::Ticket ToMessage(const policy::Ticket& ticket);

/// Returns nullopt if the message holds no complete ticket.
std::optional<policy::Ticket> FromMessage(const peer::pb::Ticket& message);

}  // namespace fireflyrun::node
