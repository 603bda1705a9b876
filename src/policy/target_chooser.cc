#include "policy/target_chooser.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "policy/target_subset.h"

namespace fireflyrun::policy {
namespace {

constexpr Duration kWarmUp = std::chrono::seconds(5);
constexpr double kLeastWarmth = 0.1;
/// Of two targets with equal load, one is passed over when its latency is so many times higher...
constexpr double kMuchSlower = 2;
/// ...but for one such choice in so many, which brings news of it.
constexpr std::uint64_t kTrySlowerEvery = 16;
/// An idle target of which nothing is known gets one in so many of the choices that it would lose.
constexpr std::uint64_t kTryUnheardEvery = 4;

bool TakesCalls(const Candidate& candidate) { return !candidate.leaving && candidate.slots > 0; }

double Warmth(const Candidate& candidate, SteadyTime now) {
  const std::chrono::duration<double> age = now - candidate.first_seen;
  return std::clamp(age / std::chrono::duration<double>(kWarmUp), kLeastWarmth, 1.0);
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
  const Eligible eligible{targets, this->AnySound(query, targets, now)};
  const Pool zone = this->PoolOf(TargetTier::kZone, query, eligible, now);
  if (!zone.roomy.empty()) return this->PickLessLoaded(zone.roomy, TargetTier::kZone, now);
  const Pool region = this->PoolOf(TargetTier::kRegion, query, eligible, now);
  if (!region.roomy.empty()) return this->PickLessLoaded(region.roomy, TargetTier::kRegion, now);
  const Pool beyond = this->PoolOf(TargetTier::kBeyond, query, eligible, now);
  const bool room_beyond = !beyond.roomy.empty();
  if (room_beyond && this->hooks.take_link_bytes(query.bytes, now)) {
    return this->PickLessLoaded(beyond.roomy, TargetTier::kBeyond, now);
  }
  if (!zone.admitting.empty()) return this->PickLessLoaded(zone.admitting, TargetTier::kZone, now);
  if (!region.admitting.empty()) {
    return this->PickLessLoaded(region.admitting, TargetTier::kRegion, now);
  }
  if (room_beyond) return tl::unexpected(RefusalReason::kLinkBudget);
  if (!beyond.admitting.empty()) {
    if (!this->hooks.take_link_bytes(query.bytes, now)) {
      return tl::unexpected(RefusalReason::kLinkBudget);
    }
    return this->PickLessLoaded(beyond.admitting, TargetTier::kBeyond, now);
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
  const bool news = known->second.load.Ejected() != was_ejected;
  if (news && this->hooks.on_ejection) this->hooks.on_ejection(node, known->second.load);
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

PriorityKey TargetChooser::LoosestLevel(const TargetQuery& query,
                                        const std::vector<Candidate>& candidates, SteadyTime now) {
  const Candidates eligible = this->EligibleFor(query, candidates, now);
  if (eligible.empty()) return kOpenLevel;
  PriorityKey loosest;
  for (const Candidate* candidate : eligible) {
    loosest = std::max(loosest, this->levels.Level(ScopeOf(query), candidate->node, now));
  }
  return loosest;
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
    if (this->KnownOf(*candidate).load.Ejected()) ejected.push_back(candidate);
  }
  // When every target fails, the cause is beyond them, and fewer targets would only add to the
  // load.
  if (ejected.size() == all.size()) return all;
  const auto longer = [&](const Candidate* one, const Candidate* other) {
    return this->KnownOf(*one).load.EjectedUntil() > this->KnownOf(*other).load.EjectedUntil();
  };
  std::sort(ejected.begin(), ejected.end(), longer);
  ejected.resize(std::min(ejected.size(), all.size() / 2));
  std::erase_if(ejected, [&](const Candidate* candidate) {
    return this->KnownOf(*candidate).load.ProbeDue(now);
  });
  std::erase_if(all, [&](const Candidate* candidate) {
    return std::find(ejected.begin(), ejected.end(), candidate) != ejected.end();
  });
  return all;
}

bool TargetChooser::AnySound(const TargetQuery& query, const Candidates& targets, SteadyTime now) {
  return std::any_of(targets.begin(), targets.end(), [&](const Candidate* candidate) {
    return !IsExcluded(query, *candidate) && !this->KnownOf(*candidate).load.FailsOften(now);
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
    if (this->Saturated(*candidate, now)) continue;
    if (eligible.any_sound && this->KnownOf(*candidate).load.FailsOften(now)) continue;
    pool.roomy.push_back(candidate);
  }
  return pool;
}

TargetChoice TargetChooser::PickLessLoaded(const Candidates& targets, TargetTier tier,
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
  if (this->ShallTry(one, other, now)) return true;
  return !this->ShallTry(other, one, now) && this->IsBetter(one, other, now);
}

bool TargetChooser::ShallTry(const Candidate& one, const Candidate& other, SteadyTime now) {
  // Held for new, it loses each comparison with a warm target that is idle, too; without a call it
  // would stay unknown for its whole warm-up.
  return this->IsIdleAndUnheard(one, now) && !this->IsIdleAndUnheard(other, now) &&
         this->hooks.random_below(kTryUnheardEvery) == 0;
}

bool TargetChooser::IsIdleAndUnheard(const Candidate& candidate, SteadyTime now) {
  const TargetLoad& load = this->KnownOf(candidate).load;
  return !load.HasRecentReport(now) && load.InFlight(now) == 0;
}

bool TargetChooser::IsBetter(const Candidate& one, const Candidate& other, SteadyTime now) {
  const double one_score = this->Score(one, now);
  const double other_score = this->Score(other, now);
  if (one_score != other_score) return one_score < other_score;
  // A latency grows stale while its target is avoided, so only a great difference counts, and not
  // always.
  const double one_latency = this->KnownOf(one).load.LatencySeconds();
  const double other_latency = this->KnownOf(other).load.LatencySeconds();
  const bool much_faster = one_latency * kMuchSlower < other_latency;
  return much_faster && this->hooks.random_below(kTrySlowerEvery) != 0;
}

double TargetChooser::Score(const Candidate& candidate, SteadyTime now) {
  const TargetLoad& load = this->KnownOf(candidate).load;
  // What the target's node said of its limit counts more than how long it is known.
  const double warmth = load.HasRecentReport(now) ? 1 : Warmth(candidate, now);
  const double limit = load.Limit(candidate.slots, now) * warmth;
  return (load.InFlight(now) + 1) / limit;
}

bool TargetChooser::Saturated(const Candidate& candidate, SteadyTime now) {
  const TargetLoad& load = this->KnownOf(candidate).load;
  return load.InFlight(now) >= load.Limit(candidate.slots, now);
}

TargetChooser::Known& TargetChooser::KnownOf(const Candidate& candidate) {
  Known& known = this->known_targets[candidate.node];
  if (known.incarnation == candidate.incarnation) return known;
  if (known.incarnation != 0) this->levels.Forget(candidate.node);
  known = Known{candidate.incarnation, TargetLoad{}};
  return known;
}

}  // namespace fireflyrun::policy
