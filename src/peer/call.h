#pragma once

#include <memory>
#include <string>

#include "common/clock.h"
#include "peer/peer.pb.h"
#include "policy/held_bytes.h"

namespace fireflyrun::peer {

/// A complete call as sent between nodes.
struct Call {
  pb::CallHead head;
  std::string body;
  SteadyTime deadline;  ///< By this process's clock, at both ends of a link.
  /// At the called node: how long its head was on its way, at most; zero if that is not known.
  Duration transit_time{};
  /// At the called node: there was no room for it, so the call is only to be refused.
  bool body_dropped = false;
};

/// A complete answer. If there is no answer from the target, the head holds the refusal.
struct Answer {
  pb::AnswerHead head;
  std::string body;
  /// At the called node: counts the answer until it is sent and needed no more. Shared by copies.
  std::shared_ptr<const policy::HeldBytesShare> held;
};

}  // namespace fireflyrun::peer
