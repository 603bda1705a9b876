#pragma once

#include <optional>

#include "peer/call.h"
#include "policy/refusal_reason.h"
#include "policy/ticket.h"

namespace fireflyrun::node {

/// Result of one attempt.
struct AttemptResult {
  peer::pb::Outcome outcome = peer::pb::OUTCOME_UNKNOWN;
  policy::RefusalReason reason = policy::RefusalReason::kNone;
  peer::Answer answer;  ///< The head is empty when the link failed.
  std::optional<policy::Ticket> successor;
  /// True when the target's node reported the result; false when the link could not deliver the
  /// call.
  bool from_target_node = false;
};

}  // namespace fireflyrun::node
