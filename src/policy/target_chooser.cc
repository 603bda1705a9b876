#include "policy/target_chooser.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "policy/target_subset.h"

namespace fireflyrun::policy {
namespace {

constexpr Duration kWarmUp = std::chrono::seconds(5);
constexpr double kMinWarmUpShare = 0.1;
/// Of two targets with equal load, one is avoided if its latency is this many times higher.
constexpr double kAvoidLatencyRatio = 2;
/// One in this many of such choices ignores the latency, to measure the slower target again.
constexpr std::uint64_t kChoicesPerSlowerTry = 16;
/// One in this many of the choices between an idle target without a recent load report and one with
/// a report or calls in flight goes to the former.
constexpr std::uint64_t kChoicesPerIdleTry = 4;

bool TakesCalls(const Candidate& candidate) { return !candidate.leaving && candidate.slots > 0; }

double WarmUpShare(const Candidate& candidate, SteadyTime now) {
  const std::chrono::duration<double> age = now - candidate.first_seen;
  return std::clamp(age / std::chrono::duration<double>(kWarmUp), kMinWarmUpShare, 1.0);
}

bool IsExcluded(const TargetQuery& query, const Candidate& candidate) {
  return std::find(query.excluded.begin(), query.excluded.end(), candidate.node) !=
         query.excluded.end();
}

}  // namespace

TargetChooser::TargetChooser(TargetChooserOptions chooser_options, TargetChooserHooks chooser_hooks)
    : options(std::move(chooser_options)), hooks(std::move(chooser_hooks)) {}

tl::expected<TargetChoice, RefusalReason> TargetChooser::Choose(
    const TargetQuery& query, const std::vector<Candidate>& candidates, SteadyTime now) {
  if (std::none_of(candidates.begin(), candidates.end(), TakesCalls)) {
    return tl::unexpected(RefusalReason::kNoTarget);
  }
  const Candidates targets = this->EligibleFor(query, candidates, now);
  const Eligible eligible{targets, this->AnyHealthy(query, targets, now)};
  const Pool zone = this->PoolOf(TargetTier::kZone, query, eligible, now);
  if (!zone.available.empty())
    return this->ChooseLessLoaded(zone.available, TargetTier::kZone, now);
  const Pool region = this->PoolOf(TargetTier::kRegion, query, eligible, now);
  if (!region.available.empty())
    return this->ChooseLessLoaded(region.available, TargetTier::kRegion, now);
  const Pool beyond = this->PoolOf(TargetTier::kBeyond, query, eligible, now);
  const bool available_beyond = !beyond.available.empty();
  if (available_beyond && this->hooks.take_link_bytes(query.bytes, now)) {
    return this->ChooseLessLoaded(beyond.available, TargetTier::kBeyond, now);
  }
  if (!zone.admitting.empty())
    return this->ChooseLessLoaded(zone.admitting, TargetTier::kZone, now);
  if (!region.admitting.empty()) {
    return this->ChooseLessLoaded(region.admitting, TargetTier::kRegion, now);
  }
  if (available_beyond) return tl::unexpected(RefusalReason::kLinkBudget);
  if (!beyond.admitting.empty()) {
    if (!this->hooks.take_link_bytes(query.bytes, now)) {
      return tl::unexpected(RefusalReason::kLinkBudget);
    }
    return this->ChooseLessLoaded(beyond.admitting, TargetTier::kBeyond, now);
  }
  const bool refused = !zone.usable.empty() || !region.usable.empty() || !beyond.usable.empty();
  return tl::unexpected(refused ? RefusalReason::kAdmissionLevel : RefusalReason::kUnreachable);
}

void TargetChooser::OnSent(std::string_view node) {
  const auto known = this->known_targets.find(node);
  if (known != this->known_targets.end()) known->second.load.OnSent();
}

void TargetChooser::OnAnswered(std::string_view level_scope, std::string_view node,
                               CallOutcome outcome, Duration latency, const ReportedLoad& load,
                               const std::optional<PriorityKey>& level, SteadyTime now) {
  const auto known = this->known_targets.find(node);
  if (known == this->known_targets.end()) return;
  const bool was_ejected = known->second.load.Ejected();
  known->second.load.OnAnswered(outcome, latency, load, now);
  const bool ejection_changed = known->second.load.Ejected() != was_ejected;
  if (ejection_changed && this->hooks.on_ejection)
    this->hooks.on_ejection(node, known->second.load);
  if (level) this->levels.OnLevelReported(level_scope, node, *level, now);
}

void TargetChooser::Forget(std::string_view node) {
  const auto known = this->known_targets.find(node);
  if (known != this->known_targets.end()) this->known_targets.erase(known);
  this->levels.Forget(node);
}

const TargetLoad* TargetChooser::LoadOf(std::string_view node) const {
  const auto known = this->known_targets.find(node);
  return known == this->known_targets.end() ? nullptr : &known->second.load;
}

PriorityKey TargetChooser::LeastRestrictiveLevel(const TargetQuery& query,
                                                 const std::vector<Candidate>& candidates,
                                                 SteadyTime now) {
  const Candidates eligible = this->EligibleFor(query, candidates, now);
  if (eligible.empty()) return kOpenLevel;
  PriorityKey least_restrictive;
  for (const Candidate* candidate : eligible) {
    least_restrictive =
        std::max(least_restrictive, this->levels.Level(ScopeOf(query), candidate->node, now));
  }
  return least_restrictive;
}

const std::string& TargetChooser::ScopeOf(const TargetQuery& query) {
  return query.level_scope.empty() ? query.service : query.level_scope;
}

TargetTier TargetChooser::TierOf(const Candidate& candidate) const {
  if (candidate.region != this->options.region) return TargetTier::kBeyond;
  return candidate.zone == this->options.zone ? TargetTier::kZone : TargetTier::kRegion;
}

TargetChooser::Candidates TargetChooser::EligibleFor(const TargetQuery& query,
                                                     const std::vector<Candidate>& candidates,
                                                     SteadyTime now) {
  Candidates eligible;
  for (const Candidate& candidate : candidates) {
    if (!candidate.reachable || !TakesCalls(candidate)) continue;
    const bool is_beyond = this->TierOf(candidate) == TargetTier::kBeyond;
    if (!is_beyond || query.call_class.may_leave_region) eligible.push_back(&candidate);
  }
  return this->WithoutEjected(std::move(eligible), now);
}

TargetChooser::Candidates TargetChooser::WithoutEjected(Candidates all, SteadyTime now) {
  Candidates ejected;
  for (const Candidate* candidate : all) {
    if (this->KnownTargetOf(*candidate).load.Ejected()) ejected.push_back(candidate);
  }
  // When every target fails, the cause lies elsewhere, and using fewer targets would only increase
  // their load.
  if (ejected.size() == all.size()) return all;
  const auto longer = [&](const Candidate* one, const Candidate* other) {
    return this->KnownTargetOf(*one).load.EjectedUntil() >
           this->KnownTargetOf(*other).load.EjectedUntil();
  };
  std::sort(ejected.begin(), ejected.end(), longer);
  ejected.resize(std::min(ejected.size(), all.size() / 2));
  std::erase_if(ejected, [&](const Candidate* candidate) {
    return this->KnownTargetOf(*candidate).load.ProbeDue(now);
  });
  std::erase_if(all, [&](const Candidate* candidate) {
    return std::find(ejected.begin(), ejected.end(), candidate) != ejected.end();
  });
  return all;
}

bool TargetChooser::AnyHealthy(const TargetQuery& query, const Candidates& targets,
                               SteadyTime now) {
  return std::any_of(targets.begin(), targets.end(), [&](const Candidate* candidate) {
    return !IsExcluded(query, *candidate) && !this->KnownTargetOf(*candidate).load.FailsOften(now);
  });
}

TargetChooser::Pool TargetChooser::PoolOf(TargetTier tier, const TargetQuery& query,
                                          const Eligible& eligible, SteadyTime now) {
  Candidates all;
  for (const Candidate* candidate : eligible.targets) {
    if (this->TierOf(*candidate) == tier) all.push_back(candidate);
  }
  const auto excluded = [&](const Candidate* candidate) { return IsExcluded(query, *candidate); };
  Pool pool;
  pool.usable = TargetSubset(all, query.service, this->options.node, this->options.subset_size);
  std::erase_if(pool.usable, excluded);
  if (pool.usable.empty()) {
    pool.usable = std::move(all);
    std::erase_if(pool.usable, excluded);
  }
  for (const Candidate* candidate : pool.usable) {
    if (!this->levels.Admits(ScopeOf(query), candidate->node, query.key, now)) continue;
    pool.admitting.push_back(candidate);
    if (this->IsSaturated(*candidate, now)) continue;
    if (eligible.any_healthy && this->KnownTargetOf(*candidate).load.FailsOften(now)) continue;
    pool.available.push_back(candidate);
  }
  return pool;
}

TargetChoice TargetChooser::ChooseLessLoaded(const Candidates& targets, TargetTier tier,
                                             SteadyTime now) {
  const std::size_t first = this->hooks.random_below(targets.size());
  const Candidate* chosen = targets[first];
  if (targets.size() > 1) {
    const std::size_t offset = 1 + this->hooks.random_below(targets.size() - 1);
    const Candidate* other = targets[(first + offset) % targets.size()];
    if (this->Prefers(*other, *chosen, now)) chosen = other;
  }
  return {chosen->node, chosen->incarnation, tier};
}

bool TargetChooser::Prefers(const Candidate& one, const Candidate& other, SteadyTime now) {
  if (this->ShouldTry(one, other, now)) return true;
  return !this->ShouldTry(other, one, now) && this->IsBetter(one, other, now);
}

bool TargetChooser::ShouldTry(const Candidate& one, const Candidate& other, SteadyTime now) {
  // A new target loses every comparison with an idle warm one; without a call, its load would stay
  // unknown for the whole warm-up.
  return this->IsIdleWithoutReport(one, now) && !this->IsIdleWithoutReport(other, now) &&
         this->hooks.random_below(kChoicesPerIdleTry) == 0;
}

bool TargetChooser::IsIdleWithoutReport(const Candidate& candidate, SteadyTime now) {
  const TargetLoad& load = this->KnownTargetOf(candidate).load;
  return !load.HasRecentReport(now) && load.InFlight(now) == 0;
}

bool TargetChooser::IsBetter(const Candidate& one, const Candidate& other, SteadyTime now) {
  const double one_score = this->Score(one, now);
  const double other_score = this->Score(other, now);
  if (one_score != other_score) return one_score < other_score;
  // The latency of an avoided target becomes stale, so only a large difference counts, and not in
  // every choice.
  const double one_latency = this->KnownTargetOf(one).load.LatencySeconds();
  const double other_latency = this->KnownTargetOf(other).load.LatencySeconds();
  const bool much_faster = one_latency * kAvoidLatencyRatio < other_latency;
  return much_faster && this->hooks.random_below(kChoicesPerSlowerTry) != 0;
}

double TargetChooser::Score(const Candidate& candidate, SteadyTime now) {
  const TargetLoad& load = this->KnownTargetOf(candidate).load;
  // A reported limit is more accurate than the estimate from the time since discovery.
  const double warm_up_share = load.HasRecentReport(now) ? 1 : WarmUpShare(candidate, now);
  const double limit = load.Limit(candidate.slots, now) * warm_up_share;
  return (load.InFlight(now) + 1) / limit;
}

bool TargetChooser::IsSaturated(const Candidate& candidate, SteadyTime now) {
  const TargetLoad& load = this->KnownTargetOf(candidate).load;
  return load.InFlight(now) >= load.Limit(candidate.slots, now);
}

TargetChooser::KnownTarget& TargetChooser::KnownTargetOf(const Candidate& candidate) {
  KnownTarget& known = this->known_targets[candidate.node];
  if (known.incarnation == candidate.incarnation) return known;
  if (known.incarnation != 0) this->levels.Forget(candidate.node);
  known = KnownTarget{candidate.incarnation, TargetLoad{}};
  return known;
}

}  // namespace fireflyrun::policy
