#include "node/ticket_codec.h"

namespace fireflyrun::node {

peer::pb::Ticket ToMessage(const policy::Ticket& ticket) {
  peer::pb::Ticket message;
  message.set_node(ticket.node);
  message.set_incarnation(ticket.incarnation);
  message.set_window(ticket.window);
  message.set_nonce(ticket.nonce.ToBytes());
  return message;
}

std::optional<policy::Ticket> FromMessage(const peer::pb::Ticket& message) {
  const auto nonce = Id128::FromBytes(message.nonce());
  if (!nonce || message.node().empty()) return std::nullopt;
  policy::Ticket ticket;
  ticket.node = message.node();
  ticket.incarnation = message.incarnation();
  ticket.window = message.window();
  ticket.nonce = *nonce;
  return ticket;
}

}  // namespace fireflyrun::node
