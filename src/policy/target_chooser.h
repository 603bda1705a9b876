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
/// The nearest tier with a target that admits the call's key and is not saturated is taken: own
/// zone, then own region, then beyond, for classes that may leave the region and within the byte
/// budget. If all are saturated, the nearest tier that admits the key at all. Within a tier: a
/// stable subset, and of two drawn at random the less loaded one (Mitzenmacher 2001). Targets seen
/// first a short time ago count as more loaded than they are, but one that is idle and unheard is
/// tried now and then. Targets that fail are ejected, at most half of all that the call may go to,
/// whatever their tier, and none if all fail. One that fails now and then counts as saturated for a
/// second after each failure, while a sound one is left anywhere.
class TargetChooser {
 public:
  TargetChooser(TargetChooserOptions chooser_options, TargetChooserHooks chooser_hooks);

  /// Errors: kNoTarget (no target that takes calls), kUnreachable (those that do are unreachable or
  /// excluded), kAdmissionLevel (all permitted tiers refuse the key), kLinkBudget (only other
  /// regions would take it and the budget is spent).
  tl::expected<TargetChoice, RefusalReason> Choose(const TargetQuery& query,
                                                   const std::vector<Candidate>& candidates,
                                                   SteadyTime now);

  /// A call was sent to `node`; `OnAnswered` must follow.
  void OnSent(std::string_view node);
  /// `level` is nullopt when the answer told none (a timeout, a lost link).
  void OnAnswered(std::string_view level_scope, std::string_view node, CallOutcome outcome,
                  Duration latency, const ReportedLoad& load,
                  const std::optional<PriorityKey>& level, SteadyTime now);
  /// Drops all that is known of a node that is gone for good.
  void Forget(std::string_view node);

  const LevelTable& Levels() const { return this->levels; }
  /// The level that a call must meet to be taken by any target that it may go to now; open when
  /// there is none. What a target said before it left, or fell out of reach, counts no more.
  PriorityKey LoosestLevel(const TargetQuery& query, const std::vector<Candidate>& candidates,
                           SteadyTime now);
  /// Nullptr if the node was never a candidate, or is forgotten.
  const TargetLoad* LoadOf(std::string_view node) const;

 private:
  struct Known {
    std::uint64_t incarnation = 0;
    TargetLoad load;
  };
  using Candidates = std::vector<const Candidate*>;

  /// The targets that a call may go to, whatever their tier.
  struct Eligible {
    Candidates targets;
    bool any_sound;  ///< One that doesn't fail often is left.
  };

  /// The targets of one tier that may get the call, from all to the best.
  struct Pool {
    Candidates usable;
    Candidates admitting;
    Candidates roomy;  ///< Sound, or as good as any, and not saturated.
  };

  static const std::string& ScopeOf(const TargetQuery& query);
  TargetTier TierOf(const Candidate& candidate) const;
  /// Of the candidates, those in a tier that the call may use that are not ejected.
  Candidates EligibleFor(const TargetQuery& query, const std::vector<Candidate>& candidates,
                         SteadyTime now);
  Candidates WithoutEjected(Candidates all, SteadyTime now);
  bool AnySound(const TargetQuery& query, const Candidates& targets, SteadyTime now);
  Pool PoolOf(TargetTier tier, const TargetQuery& query, const Eligible& eligible, SteadyTime now);
  TargetChoice PickLessLoaded(const Candidates& targets, TargetTier tier, SteadyTime now);
  bool Prefers(const Candidate& one, const Candidate& other, SteadyTime now);
  bool ShallTry(const Candidate& one, const Candidate& other, SteadyTime now);
  bool IsIdleAndUnheard(const Candidate& candidate, SteadyTime now);
  bool IsBetter(const Candidate& one, const Candidate& other, SteadyTime now);
  double Score(const Candidate& candidate, SteadyTime now);
  bool Saturated(const Candidate& candidate, SteadyTime now);
  Known& KnownOf(const Candidate& candidate);

  TargetChooserOptions options;
  TargetChooserHooks hooks;
  LevelTable levels;
  std::map<std::string, Known, std::less<>> known_targets;
};

}  // namespace fireflyrun::policy
