#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "common/clock.h"
#include "policy/call_outcome.h"
#include "policy/candidate.h"
#include "policy/level_table.h"
#include "policy/refusal_reason.h"
#include "policy/reported_load.h"
#include "policy/target_choice.h"
#include "policy/target_chooser_hooks.h"
#include "policy/target_chooser_options.h"
#include "policy/target_load.h"
#include "policy/target_query.h"

namespace fireflyrun::policy {

/// Chooses the target node for each call.
///
/// The nearest tier with a target that admits the call's key and is not saturated is used: the own
/// zone, then the own region, then other regions, for call classes that may leave the region and
/// within the byte budget. If all are saturated, the nearest tier that admits the key is used.
/// Within a tier, the less loaded of two random targets of a stable subset is chosen (Mitzenmacher
/// 2001). Recently discovered targets count as more loaded than they are, but an idle one without a
/// recent load report is tried occasionally. Failing targets are ejected: at most half of all
/// targets that the call may use, whatever their tier, and none if all fail. A target that fails
/// frequently counts as saturated for a second after each failure, while a healthy target is left
/// in any tier.
class TargetChooser {
 public:
  TargetChooser(TargetChooserOptions chooser_options, TargetChooserHooks chooser_hooks);

  /// Errors: kNoTarget (no target takes calls), kUnreachable (all that do are unreachable, excluded
  /// or in tiers that are not permitted), kAdmissionLevel (all permitted tiers refuse the key),
  /// kLinkBudget (only other regions would take the call and the budget is spent).
  tl::expected<TargetChoice, RefusalReason> Choose(const TargetQuery& query,
                                                   const std::vector<Candidate>& candidates,
                                                   SteadyTime now);

  /// A call was sent to `node`; `OnAnswered` must follow.
  void OnSent(std::string_view node);
  /// `level` is nullopt if the target reported none (a timeout, a lost link).
  void OnAnswered(std::string_view level_scope, std::string_view node, CallOutcome outcome,
                  Duration latency, const ReportedLoad& load,
                  const std::optional<PriorityKey>& level, SteadyTime now);
  /// Drops all state of a node that was removed from the membership.
  void Forget(std::string_view node);

  const LevelTable& Levels() const { return this->levels; }
  /// The least restrictive admission level of the targets that the call may go to now: a call
  /// beyond it is refused by all of them. Open when there is no such target. The levels of targets
  /// that left or became unreachable don't count.
  PriorityKey LeastRestrictiveLevel(const TargetQuery& query,
                                    const std::vector<Candidate>& candidates, SteadyTime now);
  /// Nullptr if the node was never a candidate or was dropped by `Forget`.
  const TargetLoad* LoadOf(std::string_view node) const;

 private:
  struct KnownTarget {
    std::uint64_t incarnation = 0;
    TargetLoad load;
  };
  using Candidates = std::vector<const Candidate*>;

  /// The targets that a call may go to, in all tiers.
  struct Eligible {
    Candidates targets;
    bool any_healthy;  ///< At least one doesn't fail often.
  };

  /// The targets of one tier that may receive the call; each list is part of the one before.
  struct Pool {
    Candidates usable;
    Candidates admitting;
    Candidates available;  ///< Not saturated, and healthy unless no eligible target is.
  };

  static const std::string& ScopeOf(const TargetQuery& query);
  TargetTier TierOf(const Candidate& candidate) const;
  /// The reachable candidates in permitted tiers that take calls and are not ejected.
  Candidates EligibleFor(const TargetQuery& query, const std::vector<Candidate>& candidates,
                         SteadyTime now);
  Candidates WithoutEjected(Candidates all, SteadyTime now);
  bool AnyHealthy(const TargetQuery& query, const Candidates& targets, SteadyTime now);
  Pool PoolOf(TargetTier tier, const TargetQuery& query, const Eligible& eligible, SteadyTime now);
  TargetChoice ChooseLessLoaded(const Candidates& targets, TargetTier tier, SteadyTime now);
  bool Prefers(const Candidate& one, const Candidate& other, SteadyTime now);
  bool ShouldTry(const Candidate& one, const Candidate& other, SteadyTime now);
  bool IsIdleWithoutReport(const Candidate& candidate, SteadyTime now);
  bool IsBetter(const Candidate& one, const Candidate& other, SteadyTime now);
  double Score(const Candidate& candidate, SteadyTime now);
  bool IsSaturated(const Candidate& candidate, SteadyTime now);
  KnownTarget& KnownTargetOf(const Candidate& candidate);

  TargetChooserOptions options;
  TargetChooserHooks hooks;
  LevelTable levels;
  std::map<std::string, KnownTarget, std::less<>> known_targets;
};

}  // namespace fireflyrun::policy
