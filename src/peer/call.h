#pragma once

#include <string>

#include "peer/peer.pb.h"

namespace fireflyrun::peer {

/// A whole call as it travels between nodes.
struct Call {
  pb::CallHead head;
  std::string body;
};

/// A whole answer, with the refusal in its head when there is no target's answer.
struct Answer {
  pb::AnswerHead head;
  std::string body;
};

}  // namespace fireflyrun::peer
