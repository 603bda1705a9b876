#pragma once

#include <array>
#include <string_view>
#include <utility>

#include "common/enum_names.h"

namespace fireflyrun::policy {

/// Why a call was refused or failed without the target's own answer.
enum class RefusalReason {
  kNone,
  kOverload,          ///< Dropped from the queue because the node's admission level tightened.
  kQueueFull,         ///< Evicted from the full admission queue as its entry of lowest priority.
  kDeadline,          ///< The deadline has passed or can't be met.
  kLeaving,           ///< The target is leaving and takes no new calls.
  kNoTarget,          ///< The service has no target that takes calls.
  kUnreachable,       ///< The service has targets, but none is reachable from this node.
  kRetryExhausted,    ///< Neither the allotment nor the budget holds another retry.
  kTicketVoid,        ///< The ticket was refused before and has a successor.
  kTicketForgotten,   ///< The ticket's window is no longer remembered, or not yet known.
  kTicketLimit,       ///< The ticket's window is full.
  kWrongIncarnation,  ///< The ticket was issued for another node or incarnation.
  kAnswerDropped,     ///< The call ran; its answer is no longer retained.
  kOutcomeUnknown,    ///< The call was started; its outcome is unknown.
  kStoreUnavailable,  ///< A key could not be bound because the store did not answer.
  kKeyLimit,          ///< The parent call has reached its limit of key bindings.
  kAdmissionLevel,    ///< The call's key is beyond the admission level.
  kCancelled,         ///< The caller disconnected.
  kParentEnded,       ///< The parent call was answered without waiting for this one.
  kParentCancelled,   ///< The caller of the parent call disconnected.
  kTargetFailed,      ///< The target closed or broke the exchange, or its answer was malformed.
  kTargetRefused,     ///< The target itself reported that it has not run the call.
  kDownstreamFailed,  ///< The target failed because a call that it made failed.
  kLinkLost,          ///< The link to the target's node was lost.
  kLinkSlow,          ///< The call was on its way too long to know whether its caller still waits.
  kLinkBudget,        ///< The inter-region byte budget is spent.
  kUnknownService,    ///< No record describes the service.
  kRouteUnusable,     ///< The route's record, or that of its service, can't be used.
  kNotReady,          ///< The node holds no configuration yet.
  kBadRequest,        ///< The call itself is malformed.
  kBodyTooLarge,
  kBodyDamaged,     ///< The checksum of the call's body didn't match; the body was dropped.
  kAnswerTooLarge,  ///< The call ran; its answer is larger than links carry.
};

inline constexpr EnumNames kRefusalReasonNames(std::array{
    std::pair{RefusalReason::kNone, std::string_view("none")},
    std::pair{RefusalReason::kOverload, std::string_view("overload")},
    std::pair{RefusalReason::kQueueFull, std::string_view("queue-full")},
    std::pair{RefusalReason::kDeadline, std::string_view("deadline")},
    std::pair{RefusalReason::kLeaving, std::string_view("leaving")},
    std::pair{RefusalReason::kNoTarget, std::string_view("no-target")},
    std::pair{RefusalReason::kUnreachable, std::string_view("unreachable")},
    std::pair{RefusalReason::kRetryExhausted, std::string_view("retry-exhausted")},
    std::pair{RefusalReason::kTicketVoid, std::string_view("ticket-void")},
    std::pair{RefusalReason::kTicketForgotten, std::string_view("ticket-forgotten")},
    std::pair{RefusalReason::kTicketLimit, std::string_view("ticket-limit")},
    std::pair{RefusalReason::kWrongIncarnation, std::string_view("wrong-incarnation")},
    std::pair{RefusalReason::kAnswerDropped, std::string_view("answer-dropped")},
    std::pair{RefusalReason::kOutcomeUnknown, std::string_view("outcome-unknown")},
    std::pair{RefusalReason::kStoreUnavailable, std::string_view("store-unavailable")},
    std::pair{RefusalReason::kKeyLimit, std::string_view("key-limit")},
    std::pair{RefusalReason::kAdmissionLevel, std::string_view("admission-level")},
    std::pair{RefusalReason::kCancelled, std::string_view("cancelled")},
    std::pair{RefusalReason::kParentEnded, std::string_view("parent-ended")},
    std::pair{RefusalReason::kParentCancelled, std::string_view("parent-cancelled")},
    std::pair{RefusalReason::kTargetFailed, std::string_view("target-failed")},
    std::pair{RefusalReason::kTargetRefused, std::string_view("target-refused")},
    std::pair{RefusalReason::kDownstreamFailed, std::string_view("downstream-failed")},
    std::pair{RefusalReason::kLinkLost, std::string_view("link-lost")},
    std::pair{RefusalReason::kLinkSlow, std::string_view("link-slow")},
    std::pair{RefusalReason::kLinkBudget, std::string_view("link-budget")},
    std::pair{RefusalReason::kUnknownService, std::string_view("unknown-service")},
    std::pair{RefusalReason::kRouteUnusable, std::string_view("route-unusable")},
    std::pair{RefusalReason::kNotReady, std::string_view("not-ready")},
    std::pair{RefusalReason::kBadRequest, std::string_view("bad-request")},
    std::pair{RefusalReason::kBodyTooLarge, std::string_view("body-too-large")},
    std::pair{RefusalReason::kBodyDamaged, std::string_view("body-damaged")},
    std::pair{RefusalReason::kAnswerTooLarge, std::string_view("answer-too-large")},
});

}  // namespace fireflyrun::policy
