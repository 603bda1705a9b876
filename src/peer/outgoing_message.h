#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "common/clock.h"
#include "common/id128.h"
#include "peer/call.h"

namespace fireflyrun::peer {

/// A message queued for the write buffer: a single frame, or a head and the chunks of its body.
/// Exactly one of `frame`, `call` and `answer` is set.
struct OutgoingMessage {
  Id128 call_id;
  std::string frame;                     ///< Already encoded.
  std::unique_ptr<Call> call;            ///< Encoded while the write buffer is filled.
  std::shared_ptr<const Answer> answer;  ///< Shared with the retained answers.
  SteadyTime queued_at;                  ///< For calls: deadline_us is reduced by the wait since.
  std::size_t body_offset = 0;           ///< Body bytes encoded so far.
};

}  // namespace fireflyrun::peer
