#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "http/headers.h"
#include "node/request_trace.h"
#include "peer/peer.pb.h"
#include "policy/priority_key.h"
#include "policy/refusal_reason.h"

namespace fireflyrun::node {

/// Result of an outbound call after all its attempts.
struct CallResult {
  peer::pb::Outcome outcome = peer::pb::OUTCOME_NOT_RUN;
  policy::RefusalReason reason = policy::RefusalReason::kNone;
  int status = 0;         ///< The target's, when answered.
  http::Headers headers;  ///< The target's, when answered.
  std::string body;       ///< The target's, when answered.
  std::chrono::milliseconds retry_after{0};
  bool final = false;  ///< No hop above may retry.
  policy::PriorityKey level = policy::kOpenLevel;
  std::uint32_t retries = 0;
  std::uint32_t moves = 0;
  RequestTrace trace;  ///< The decisions that led to this result.

  bool Answered() const { return this->outcome == peer::pb::OUTCOME_ANSWERED; }
};

}  // namespace fireflyrun::node
