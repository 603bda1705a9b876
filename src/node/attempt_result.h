#pragma once

#include <optional>

#include "peer/call.h"
#include "policy/refusal_reason.h"
#include "policy/ticket.h"

namespace fireflyrun::node {

/// How one attempt ended.
struct AttemptResult {
  peer::pb::Outcome outcome = peer::pb::OUTCOME_UNKNOWN;
  policy::RefusalReason reason = policy::RefusalReason::kNone;
  peer::Answer answer;  ///< Its head is empty when the link failed.
  std::optional<policy::Ticket> successor;
  /// The target's node itself said so; false when the link could not deliver the call.
  bool from_target_node = false;
};

}  // namespace fireflyrun::node
