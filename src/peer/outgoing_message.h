#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "common/clock.h"
#include "common/id128.h"
#include "peer/call.h"

namespace fireflyrun::peer {

/// One message on its way into the write buffer: a single frame, or a head and the chunks of its
/// body. Exactly one of `frame`, `call` and `answer` is set.
struct OutgoingMessage {
  Id128 call_id;
  std::string frame;                     ///< Encoded already.
  std::unique_ptr<Call> call;            ///< Encoded when its turn comes.
  std::shared_ptr<const Answer> answer;  ///< Shared with the retained answers.
  SteadyTime queued_at;                  ///< Of a call, to lower its deadline_us by the wait.
  std::size_t body_offset = 0;           ///< Body bytes encoded so far.
};

}  // namespace fireflyrun::peer
