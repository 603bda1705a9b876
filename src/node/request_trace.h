#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "common/clock.h"
#include "policy/candidate.h"
#include "policy/refusal_reason.h"
#include "policy/target_choice.h"

namespace fireflyrun {
class LogEvent;
}
namespace fireflyrun::policy {
class TargetChooser;
}

namespace fireflyrun::node {

struct Attempt;
struct AttemptResult;
struct OutboundCall;

/// Traces one outbound call: logs each decision at level debug, and keeps the last ones for the log
/// line about the call's end.
class RequestTrace {
 public:
  using Choice = tl::expected<policy::TargetChoice, policy::RefusalReason>;

  /// Inputs to the decision whether to repeat an attempt, besides the time left.
  struct RepeatInputs {
    std::uint32_t moves = 0;
    std::uint32_t max_moves = 0;
    double budget_left = 0;
  };

  void OnRouted(const OutboundCall& call, const std::vector<policy::Candidate>& candidates,
                const Choice& choice, const policy::TargetChooser& chooser);
  void OnSent(const OutboundCall& call, const Attempt& attempt);
  void OnAttemptEnded(const OutboundCall& call, const AttemptResult& result);
  void OnMoved(const OutboundCall& call, const AttemptResult& result);
  void OnRetried(const OutboundCall& call, const AttemptResult& result, double budget_left);
  void OnNotRepeated(const OutboundCall& call, const AttemptResult& result,
                     const RepeatInputs& inputs);
  void OnCancelled(const OutboundCall& call) const;

  /// Why no target was chosen for a call that was never sent; kNone otherwise.
  policy::RefusalReason NoChoice() const;
  /// Adds the decisions that led to the call's end.
  void AddTo(LogEvent* event) const;

 private:
  struct Routing {
    std::size_t candidates = 0;
    std::size_t reachable = 0;
    std::size_t leaving = 0;
    policy::RefusalReason refusal = policy::RefusalReason::kNone;
    std::string passed_over;  ///< Why each candidate was passed over, if none was chosen.
    policy::TargetTier tier = policy::TargetTier::kZone;
  };
  struct Sent {
    std::string node;
    SteadyTime at;
    bool in_progress = false;
  };
  /// Result of the last attempt, from the target's node or the link.
  struct LastResult {
    policy::RefusalReason reason = policy::RefusalReason::kNone;
    std::uint32_t status = 0;
    std::uint32_t in_flight = 0;
    std::uint32_t limit = 0;
    std::uint32_t queue_us = 0;
    bool from_target_node = false;
    Duration took{};
    SteadyTime at;
  };

  void AddRouting(LogEvent* event) const;
  void AddLastResult(LogEvent* event) const;

  Routing routing;
  Sent sent;
  LastResult last_result;
  std::uint32_t attempts = 0;
  std::string_view not_repeated;  ///< Why no further attempt followed the last one.
  double budget_left = 0;
  std::uint32_t allotment_left = 0;
};

}  // namespace fireflyrun::node
