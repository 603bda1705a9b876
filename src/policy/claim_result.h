#pragma once

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "common/enum_names.h"
#include "policy/ticket.h"

namespace fireflyrun::policy {

/// State of a ticket, as the result of a claim.
enum class ClaimState {
  kRun,               ///< First claim: the claimant offers the call to admission.
  kRunning,           ///< Already claimed or started: the claimant waits for the answer.
  kAnswered,          ///< Ran; the result holds the answer.
  kRanAnswerDropped,  ///< Ran; the answer is no longer retained.
  kOutcomeUnknown,    ///< Started with an unknown outcome. Never runs again.
  kVoid,              ///< Refused before it ran; never runs, but its successor, if any, may.
  kForgotten,         ///< The window is too old or in the future; doesn't run, but may have run.
  kWrongIncarnation,  ///< Of another node or incarnation; never runs here, but may have run there.
  kLedgerFull,        ///< Did not run and never will; there is no successor.
};

inline constexpr EnumNames kClaimStateNames(std::array{
    std::pair{ClaimState::kRun, std::string_view("run")},
    std::pair{ClaimState::kRunning, std::string_view("running")},
    std::pair{ClaimState::kAnswered, std::string_view("answered")},
    std::pair{ClaimState::kRanAnswerDropped, std::string_view("ran-answer-dropped")},
    std::pair{ClaimState::kOutcomeUnknown, std::string_view("outcome-unknown")},
    std::pair{ClaimState::kVoid, std::string_view("void")},
    std::pair{ClaimState::kForgotten, std::string_view("forgotten")},
    std::pair{ClaimState::kWrongIncarnation, std::string_view("wrong-incarnation")},
    std::pair{ClaimState::kLedgerFull, std::string_view("ledger-full")},
});

struct ClaimResult {
  ClaimState state = ClaimState::kForgotten;
  std::optional<Ticket> successor = {};            ///< With kVoid, if one was ever proposed.
  std::shared_ptr<const std::string> answer = {};  ///< With kAnswered, as given to `Complete`.
};

}  // namespace fireflyrun::policy
