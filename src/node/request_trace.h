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

/// Explains one outbound call: writes a line for each decision on it where the level is on, and
/// keeps what decided last for the line that tells how the call ended.
class RequestTrace {
 public:
  using Choice = tl::expected<policy::TargetChoice, policy::RefusalReason>;

  /// What a repetition is decided by, besides the time left.
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
  /// Adds what led to the call's end.
  void AddTo(LogEvent* event) const;

 private:
  struct Routing {
    std::size_t candidates = 0;
    std::size_t reachable = 0;
    std::size_t leaving = 0;
    policy::RefusalReason refusal = policy::RefusalReason::kNone;
    std::string passed_over;  ///< Why each candidate was, when none was chosen.
    policy::TargetTier tier = policy::TargetTier::kZone;
  };
  struct Sent {
    std::string node;
    SteadyTime at;
    bool under_way = false;
  };
  /// What the last attempt's answer said.
  struct Heard {
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
  void AddHeard(LogEvent* event) const;

  Routing routing;
  Sent sent;
  Heard heard;
  std::uint32_t attempts = 0;
  std::string_view not_repeated;  ///< Why the last attempt was the last one.
  double budget_left = 0;
  std::uint32_t allotment_left = 0;
};

}  // namespace fireflyrun::node
