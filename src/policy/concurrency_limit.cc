#include "policy/concurrency_limit.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace fireflyrun::policy {
namespace {

constexpr Duration kShortestWindow = std::chrono::milliseconds(100);
constexpr Duration kLongWindow = std::chrono::seconds(1);
constexpr Duration kLongestWindow = std::chrono::seconds(3);
/// After a change of the limit, calls that end are mostly older than the change; and were only
/// younger ones counted, the short calls among them would end first.
constexpr double kSettleServiceTimes = 2;
constexpr Duration kStartSettle = std::chrono::seconds(1);
constexpr double kFewestSamples = 5;
constexpr double kMinSamples = 10;
constexpr double kSamplesPerLimit = 3;
constexpr double kMaxSamples = 60;
/// A window that judges a reduction takes so many times the samples of another.
constexpr double kJudgeSamples = 4;
/// Likewise for the windows of a probe.
constexpr double kProbeSamples = 16;

/// Times per success, relative to the baseline.
constexpr double kFastGrowthBelow = 1.1;
constexpr double kGrowthBelow = 1.2;
constexpr double kTolerance = 1.5;

/// One noisy window must not reduce the limit.
constexpr std::uint32_t kWindowsToReduce = 2;
constexpr double kStrongestReduction = 0.7;
constexpr double kWeakestReduction = 0.8;
/// A reduction is judged once the calls in flight fell to this share.
constexpr double kJudgeInFlight = 0.9;
/// The part of the fall in calls in flight that the time per success must show.
constexpr double kResponse = 0.5;
constexpr double kInUse = 0.9;
constexpr Duration kVerifySoon = std::chrono::seconds(1);
/// When the pace of the target changed, calls that piled up keep the limit in use for a while.
constexpr Duration kProbeAfterChange = std::chrono::seconds(10);
constexpr double kRecentWeight = 0.05;
constexpr double kProbeInUse = 0.95;
constexpr double kProbeShare = 0.8;
constexpr double kLeastProbedLimit = 5;
/// A time per success within this ratio of the verified one needs no probe.
constexpr double kVerifiedRange = 1.1;
constexpr double kLeastSuccessShare = 0.1;
constexpr double kRecoverSuccessShare = 0.5;
constexpr double kRecoverShare = 0.5;

constexpr double kSmoothing = 0.3;
/// A window that differs by this factor is not smoothed.
constexpr double kSuddenChange = 2;
constexpr double kBaselineFall = 0.1;
constexpr double kBaselineRise = 0.1;
constexpr double kBaselineJump = 0.5;
/// Below this share of the limit, calls in flight can't be the cause of a slower target.
constexpr double kLittleUse = 0.5;

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

void ConcurrencyLimit::SetCeiling(std::uint32_t slots, const WarmUp& warm_up, SteadyTime now) {
  if (slots == this->ceiling) return;
  if (this->ceiling == 0) {
    this->ramp_start = now;
    this->ramp = warm_up;
    this->limit = slots;
    this->baseline_seconds = 0;
    this->smoothed_seconds = 0;
    this->reduction = {};
    this->measuring = false;
    this->recover_to = 0;
    this->probe_at = now + WarmUp().duration;
    this->settled_at = now + kStartSettle;
    this->StartWindow(now);
  }
  if (slots > this->ceiling && this->ceiling > 0) this->limit *= double{1} * slots / this->ceiling;
  this->ceiling = slots;
  this->limit = std::min<double>(this->limit, slots);
}

void ConcurrencyLimit::OnSample(Duration service_time, bool ok, std::uint32_t in_flight,
                                SteadyTime now) {
  if (now < this->settled_at) return;
  if (ok && this->NoticeChange(Seconds(service_time), now)) return;
  Window& current = this->window;
  if (current.Count() == 0) current.start = now;
  (ok ? current.ok_seconds : current.failed_seconds) += Seconds(service_time);
  (ok ? current.ok_count : current.failed_count) += 1;
  current.in_flight_sum += in_flight;
  current.max_in_flight = std::max(current.max_in_flight, in_flight);
  if (this->WindowComplete(now)) this->CloseWindow(now);
}

std::uint32_t ConcurrencyLimit::Limit(SteadyTime now) const {
  if (this->ceiling == 0) return 0;
  const Duration age = now - this->ramp_start;
  const double share = age >= this->ramp.duration ? 1 : Seconds(age) / Seconds(this->ramp.duration);
  const double first = this->ramp.initial_share;
  const double ramp_limit = this->ceiling * (first + (1 - first) * share);
  return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(std::min(this->limit, ramp_limit)));
}

Duration ConcurrencyLimit::Baseline() const {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(this->baseline_seconds));
}

double ConcurrencyLimit::SampleFactor() const {
  if (this->measuring || this->reduction.probing) return kProbeSamples;
  return this->reduction.pending ? kJudgeSamples : 1;
}

bool ConcurrencyLimit::WindowComplete(SteadyTime now) const {
  const Duration age = now - this->window.start;
  const double factor = this->SampleFactor();
  const double wanted =
      factor * std::clamp(kSamplesPerLimit * this->limit, kMinSamples, kMaxSamples);
  const double count = this->window.Count();
  if (age >= kShortestWindow && count >= wanted) return true;
  if (this->recover_to > 0 && age >= kShortestWindow && count >= kFewestSamples) return true;
  if (age >= kLongWindow * factor && count >= kFewestSamples) return true;
  return age >= kLongestWindow * factor;
}

void ConcurrencyLimit::CloseWindow(SteadyTime now) {
  const Window closed = this->window;
  this->StartWindow(now);
  if (closed.ok_count == 0) {
    this->Collapse();
    return;
  }
  if (this->Recover(closed)) return;
  this->closed_ok_seconds = closed.ok_seconds / closed.ok_count;
  const double window_seconds = this->SecondsPerSuccess(closed);
  const double in_flight = closed.in_flight_sum / closed.Count();
  if (this->baseline_seconds == 0) {
    this->baseline_seconds = window_seconds;
    this->verified_seconds = window_seconds;
  }
  const bool alone = this->settled_windows == 0 || this->reduction.pending || this->measuring;
  const double seconds = alone ? window_seconds : this->Smooth(window_seconds);
  this->settled_windows += 1;
  this->smoothed_seconds = seconds;
  if (this->JudgeReduction(seconds, in_flight, now)) return;
  this->AdaptBaseline(seconds, in_flight, now);
  const bool in_use = closed.max_in_flight >= kInUse * std::floor(this->limit);
  const bool saturated = in_flight >= kProbeInUse * std::floor(this->limit);
  if ((saturated || this->measuring) && this->Probe(seconds, in_flight, now)) return;
  const double ratio = seconds / this->baseline_seconds;
  if (ratio > kTolerance && this->settled_windows < kWindowsToReduce) return;
  if (ratio > kTolerance) {
    const double share = std::clamp(kTolerance / ratio, kStrongestReduction, kWeakestReduction);
    this->Reduce(share, false, seconds, in_flight, now);
    return;
  }
  this->reduction = {};
  if (in_use) this->Grow(ratio, now);
}

void ConcurrencyLimit::Collapse() {
  if (this->recover_to == 0) this->recover_to = this->limit * kRecoverShare;
  this->reduction = {};
  this->measuring = false;
  this->limit = std::max(1.0, this->limit * kStrongestReduction);
}

bool ConcurrencyLimit::Recover(const Window& closed) {
  if (this->recover_to == 0) return false;
  if (closed.ok_count < kRecoverSuccessShare * closed.Count()) return true;
  if (this->limit >= this->recover_to) {
    this->recover_to = 0;
    return false;
  }
  if (closed.max_in_flight >= kInUse * std::floor(this->limit)) {
    this->limit = std::min<double>(this->ceiling, this->limit * 2);
  }
  return true;
}

double ConcurrencyLimit::Smooth(double seconds) const {
  const double ratio = this->smoothed_seconds > 0 ? seconds / this->smoothed_seconds : 0;
  if (ratio < 1 / kSuddenChange || ratio > kSuddenChange) return seconds;
  return this->smoothed_seconds + kSmoothing * (seconds - this->smoothed_seconds);
}

double ConcurrencyLimit::SecondsPerSuccess(const Window& closed) const {
  // A quick failure must not make the target look fast.
  const double failed_seconds =
      std::max(closed.failed_seconds, closed.failed_count * this->baseline_seconds);
  const double count = closed.Count();
  const double success_share = std::max(closed.ok_count / count, kLeastSuccessShare);
  return (closed.ok_seconds + failed_seconds) / count / success_share;
}

void ConcurrencyLimit::AdaptBaseline(double seconds, double mean_in_flight, SteadyTime now) {
  if (seconds * kVerifiedRange < this->verified_seconds) this->verified_seconds = 0;
  if (seconds < this->baseline_seconds * kBaselineJump) {
    this->baseline_seconds = seconds;
    this->probe_at = now + kProbeAfterChange;
    return;
  }
  const double change = seconds - this->baseline_seconds;
  if (change < 0) {
    this->baseline_seconds += kBaselineFall * change;
    return;
  }
  if (mean_in_flight <= 1) {
    // A single call has nothing to queue behind.
    this->baseline_seconds = seconds;
    return;
  }
  if (mean_in_flight <= kLittleUse * this->limit) this->baseline_seconds += kBaselineRise * change;
}

void ConcurrencyLimit::Reduce(double share, bool probing, double seconds, double mean_in_flight,
                              SteadyTime now) {
  if (!this->reduction.pending) {
    this->reduction = {true, probing, this->limit, mean_in_flight, seconds};
    this->recent_seconds = this->closed_ok_seconds;
    this->reference_seconds = this->closed_ok_seconds;
  }
  // A limit well above the use would take many steps to have an effect.
  const double used = std::min(this->limit, mean_in_flight);
  this->limit = std::max(1.0, std::floor(used * share));
  this->Settle(now);
}

bool ConcurrencyLimit::JudgeReduction(double seconds, double mean_in_flight, SteadyTime now) {
  const Reduction judged = this->reduction;
  if (!judged.pending) return false;
  const double in_flight_share = mean_in_flight / judged.in_flight;
  if (in_flight_share > kJudgeInFlight) return false;
  this->reduction = {};
  const double most_seconds = judged.seconds * (1 - kResponse * (1 - in_flight_share));
  if (seconds > most_seconds) {
    this->limit = std::min<double>(judged.limit, this->ceiling);
    this->baseline_seconds = seconds;
    this->Settle(now);
    if (judged.probing) {
      this->EndProbe(seconds, now);
    } else {
      // One comparison of two noisy windows is not enough for a higher baseline.
      this->verified_seconds = 0;
      this->probe_at = std::min(this->probe_at, now + kVerifySoon);
    }
    return true;
  }
  if (!judged.probing) return false;
  this->baseline_seconds = std::min(this->baseline_seconds, seconds);
  if (this->limit < kLeastProbedLimit) {
    this->EndProbe(seconds, now);
  } else {
    this->Reduce(kProbeShare, true, seconds, mean_in_flight, now);
  }
  return true;
}

void ConcurrencyLimit::EndProbe(double verified, SteadyTime now) {
  this->verified_seconds = verified;
  this->probe_at = now + kProbeInterval;
}

bool ConcurrencyLimit::Probe(double seconds, double mean_in_flight, SteadyTime now) {
  if (this->measuring) {
    this->measuring = false;
    this->reduction = {};
    if (mean_in_flight < kProbeInUse * std::floor(this->limit)) return false;
    this->Reduce(kProbeShare, true, seconds, mean_in_flight, now);
    return true;
  }
  if (this->reduction.pending || now < this->probe_at) return false;
  if (this->limit < kLeastProbedLimit) return false;
  const bool verified =
      this->verified_seconds > 0 && seconds <= kVerifiedRange * this->verified_seconds;
  if (verified) return false;
  this->measuring = true;
  this->recent_seconds = this->closed_ok_seconds;
  this->reference_seconds = this->closed_ok_seconds;
  return true;
}

bool ConcurrencyLimit::NoticeChange(double seconds, SteadyTime now) {
  if (!this->measuring && !this->reduction.pending) return false;
  this->recent_seconds += kRecentWeight * (seconds - this->recent_seconds);
  const double ratio = this->recent_seconds / this->reference_seconds;
  const bool probing = this->measuring || this->reduction.probing;
  if (ratio > 1 / kSuddenChange && (ratio < kSuddenChange || !probing)) return false;
  if (this->reduction.probing) {
    this->limit = std::min<double>(this->reduction.limit, this->ceiling);
  }
  this->reduction = {};
  this->measuring = false;
  this->baseline_seconds = std::min(this->baseline_seconds, this->recent_seconds);
  this->smoothed_seconds = this->recent_seconds;
  this->verified_seconds = 0;
  this->probe_at = now + kProbeAfterChange;
  this->Settle(now);
  this->StartWindow(now);
  return true;
}

void ConcurrencyLimit::Settle(SteadyTime now) {
  this->settled_at = now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
                               kSettleServiceTimes * this->smoothed_seconds));
  this->settled_windows = 0;
}

void ConcurrencyLimit::Grow(double ratio, SteadyTime now) {
  if (ratio > kGrowthBelow || this->limit >= this->ceiling) return;
  this->Settle(now);
  const double speed = ratio < kFastGrowthBelow ? 2 : 1;
  const double step = std::max(1.0, speed * std::sqrt(this->limit));
  this->limit = std::min<double>(this->ceiling, this->limit + step);
}

void ConcurrencyLimit::StartWindow(SteadyTime now) { this->window = {.start = now}; }

}  // namespace fireflyrun::policy
