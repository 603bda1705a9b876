#include "node/refusal_response.h"

#include <fmt/format.h>

#include <algorithm>
#include <string>

#include "http/problem.h"
#include "node/call_result.h"
#include "node/wire_names.h"

namespace fireflyrun::node {
namespace {

using peer::pb::Outcome;
using policy::RefusalReason;

constexpr std::chrono::milliseconds kMinRetryAfter{1000};
/// Minimum where callers accept fractions of a second.
constexpr std::chrono::milliseconds kMinFractionalRetryAfter{100};
/// Used when no better value is known; the minimums above apply.
constexpr std::chrono::milliseconds kDefaultRetryAfter{300};
/// An operator has to write the record anew.
constexpr std::chrono::milliseconds kUnusableRouteRetryAfter{5000};
constexpr double kMillisecondsPerSecond = 1000;

int StatusOfNotRun(RefusalReason reason, const WireNames& wire) {
  switch (reason) {
    case RefusalReason::kUnknownService:
      return 404;
    case RefusalReason::kBadRequest:
    case RefusalReason::kKeyLimit:
      return 400;
    case RefusalReason::kBodyTooLarge:
      return 413;
    case RefusalReason::kDeadline:
      return wire.outcome.empty() ? 503 : 504;
    default:
      return 503;
  }
}

/// True when this request was refused before it ran, whatever the outcome of earlier ones with its
/// key.
bool IsRefusedBeforeRunning(RefusalReason reason) {
  return reason == RefusalReason::kStoreUnavailable || reason == RefusalReason::kLeaving ||
         reason == RefusalReason::kNotReady || reason == RefusalReason::kNoTarget;
}

int StatusOf(Outcome outcome, RefusalReason reason, const WireNames& wire) {
  const bool outcome_in_header = !wire.outcome.empty() && IsRefusedBeforeRunning(reason);
  if (outcome == Outcome::OUTCOME_NOT_RUN || outcome_in_header) return StatusOfNotRun(reason, wire);
  return reason == RefusalReason::kDeadline ? 504 : 502;
}

std::string_view TitleOf(Outcome outcome) {
  switch (outcome) {
    case Outcome::OUTCOME_NOT_RUN:
      return "The call was refused and has not run";
    case Outcome::OUTCOME_RAN:
      return "The call ran, but its answer is not available";
    default:
      return "It is not known whether the call ran";
  }
}

/// Whole seconds, rounded up, as HTTP requires, or with fractions where callers accept them.
std::string RetryAfterSeconds(std::chrono::milliseconds wait, const WireNames& wire) {
  if (wire.retry_after_fractions) {
    const auto at_least = std::max(wait, kMinFractionalRetryAfter);
    return fmt::format("{:.3f}", static_cast<double>(at_least.count()) / kMillisecondsPerSecond);
  }
  const auto at_least = std::max(wait, kMinRetryAfter);
  return std::to_string(std::chrono::ceil<std::chrono::seconds>(at_least).count());
}

http::Response BuildResponse(Outcome outcome, RefusalReason reason, std::string_view detail,
                             std::chrono::milliseconds retry_after, const WireNames& wire) {
  const int status = StatusOf(outcome, reason, wire);
  http::Headers headers;
  if (!wire.outcome.empty()) headers.push_back({wire.outcome, std::string(OutcomeName(outcome))});
  if (status == 503) headers.push_back({"Retry-After", RetryAfterSeconds(retry_after, wire)});
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

int RefusalStatus(const CallResult& result, const WireNames& wire) {
  return StatusOf(result.outcome, result.reason, wire);
}

http::Response RefusalResponse(const CallResult& result, const WireNames& wire) {
  return BuildResponse(result.outcome, result.reason, "", result.retry_after, wire);
}

http::Response RefusalResponse(RefusalReason reason, std::string_view detail, Outcome outcome,
                               const WireNames& wire) {
  const bool waits_for_operator = reason == RefusalReason::kRouteUnusable;
  const auto retry_after = waits_for_operator ? kUnusableRouteRetryAfter : kDefaultRetryAfter;
  return BuildResponse(outcome, reason, detail, retry_after, wire);
}

}  // namespace fireflyrun::node
