#include "node/refusal_response.h"

#include <algorithm>
#include <string>

#include "http/problem.h"
#include "node/call_result.h"
#include "node/header_names.h"

namespace fireflyrun::node {
namespace {

using peer::pb::Outcome;
using policy::RefusalReason;

constexpr std::chrono::milliseconds kShortestRetryAfter{1000};

int StatusOfNotRun(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kUnknownService:
      return 404;
    case RefusalReason::kBadRequest:
    case RefusalReason::kKeyLimit:
      return 400;
    case RefusalReason::kBodyTooLarge:
      return 413;
    case RefusalReason::kDeadline:
      return 504;
    default:
      return 503;
  }
}

/// True when this request was turned away, whatever became of earlier ones with its key.
bool IsTurnedAway(RefusalReason reason) {
  return reason == RefusalReason::kStoreUnavailable || reason == RefusalReason::kLeaving ||
         reason == RefusalReason::kNotReady || reason == RefusalReason::kNoTarget;
}

int StatusOf(Outcome outcome, RefusalReason reason) {
  if (outcome == Outcome::OUTCOME_NOT_RUN || IsTurnedAway(reason)) return StatusOfNotRun(reason);
  return reason == RefusalReason::kDeadline ? 504 : 502;
}

std::string_view TitleOf(Outcome outcome) {
  switch (outcome) {
    case Outcome::OUTCOME_NOT_RUN:
      return "The call was refused and has not run";
    case Outcome::OUTCOME_RAN:
      return "The call ran, but its answer cannot be given";
    default:
      return "It is not known whether the call ran";
  }
}

/// Whole seconds, rounded up, as HTTP has it.
std::string RetryAfterSeconds(std::chrono::milliseconds wait) {
  const auto at_least = std::max(wait, kShortestRetryAfter);
  return std::to_string(std::chrono::ceil<std::chrono::seconds>(at_least).count());
}

http::Response BuildResponse(Outcome outcome, RefusalReason reason, std::string_view detail,
                             std::chrono::milliseconds retry_after) {
  const int status = StatusOf(outcome, reason);
  http::Headers headers{{std::string(kOutcomeHeader), std::string(OutcomeName(outcome))}};
  if (status == 503) headers.push_back({"Retry-After", RetryAfterSeconds(retry_after)});
  return http::MakeProblem(status, policy::kRefusalReasonNames.NameOf(reason), TitleOf(outcome),
                           detail, std::move(headers));
}

}  // namespace

std::string_view OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::OUTCOME_NOT_RUN:
      return "not-run";
    case Outcome::OUTCOME_RAN:
    case Outcome::OUTCOME_ANSWERED:
      return "ran";
    default:
      return "unknown";
  }
}

http::Response RefusalResponse(const CallResult& result) {
  return BuildResponse(result.outcome, result.reason, "", result.retry_after);
}

http::Response RefusalResponse(RefusalReason reason, std::string_view detail, Outcome outcome) {
  return BuildResponse(outcome, reason, detail, kShortestRetryAfter);
}

}  // namespace fireflyrun::node
