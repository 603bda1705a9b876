#pragma once

#include <string>

#include "peer/peer.pb.h"

namespace fireflyrun::peer {

/// A complete call as sent between nodes.
struct Call {
  pb::CallHead head;
  std::string body;
};

/// A complete answer. If there is no answer from the target, the head holds the refusal.
struct Answer {
  pb::AnswerHead head;
  std::string body;
};

}  // namespace fireflyrun::peer
