#include "policy/concurrency_limit.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace fireflyrun::policy {
namespace {

/// A window ends when it has enough samples and its minimum length; with few samples, at the
/// low-traffic length; in any case at its maximum length.
constexpr Duration kMinWindow = std::chrono::milliseconds(100);
constexpr Duration kLowTrafficWindow = std::chrono::seconds(1);
constexpr Duration kMaxWindow = std::chrono::seconds(3);
/// Service times to wait after a change of the limit: at first, most calls that end were sent
/// before the change, and counting only those sent after it would favor short calls, which end
/// first.
constexpr double kSettleServiceTimes = 2;
constexpr Duration kInitialSettleTime = std::chrono::seconds(1);
/// Samples that suffice at the low-traffic length and during recovery from a collapse.
constexpr double kLowTrafficSamples = 5;
/// Samples per window: a multiple of the limit, within these bounds.
constexpr double kMinWindowSamples = 10;
constexpr double kSamplesPerLimitUnit = 3;
constexpr double kMaxWindowSamples = 60;
/// Windows that evaluate a reduction take this multiple of the usual samples.
constexpr double kReductionSampleFactor = 4;
/// Windows of a probe take this multiple of the usual samples.
constexpr double kProbeSampleFactor = 16;

/// Ratios of the time per success to the baseline.
constexpr double kFastGrowthBelowRatio = 1.1;
constexpr double kGrowthBelowRatio = 1.2;
constexpr double kReduceAboveRatio = 1.5;

/// More than one, so that a single noisy window doesn't reduce the limit.
constexpr std::uint32_t kWindowsToReduce = 2;
/// Bounds of the factor that a reduction applies to the limit.
constexpr double kMinReductionFactor = 0.7;
constexpr double kMaxReductionFactor = 0.8;
/// A reduction is evaluated once the calls in flight have fallen to this share.
constexpr double kEvaluationInFlightShare = 0.9;
/// The time per success must fall by at least this share of the relative fall in calls in flight.
constexpr double kMinResponseShare = 0.5;
/// Share of the limit from which it counts as in use.
constexpr double kInUseShare = 0.9;
/// Delay of the probe that verifies a baseline raised after an undone reduction.
constexpr Duration kVerificationProbeDelay = std::chrono::seconds(1);
/// Probe delay after the target's speed changed: accumulated calls keep the limit in use for a
/// while.
constexpr Duration kProbeDelayAfterChange = std::chrono::seconds(10);
/// Weight of a new sample in the smoothed service time that shows a change of the target's speed.
constexpr double kRecentTimeSampleWeight = 0.05;
/// Share of the limit that must be in flight, on average, for a probe.
constexpr double kProbeInUseShare = 0.95;
/// Factor on the limit for each step of a probe.
constexpr double kProbeStepFactor = 0.8;
constexpr double kMinProbedLimit = 5;
/// No probe is needed while the time per success is within this ratio of the verified time.
constexpr double kVerifiedRatio = 1.1;
constexpr double kMinSuccessShare = 0.1;
/// Share of successes in a window that lets a collapsed limit rise.
constexpr double kRecoverySuccessShare = 0.5;
/// Share of the limit before a collapse at which recovery ends.
constexpr double kRecoveryLimitShare = 0.5;

/// Weight of a window in the smoothed time per success.
constexpr double kWindowWeight = 0.3;
/// A time that differs from the smoothed one by more than this factor replaces it unsmoothed.
constexpr double kSuddenChangeRatio = 2;
constexpr double kBaselineFallWeight = 0.1;
constexpr double kBaselineRiseWeight = 0.1;
/// A time below this share of the baseline replaces the baseline immediately.
constexpr double kBaselineResetRatio = 0.5;
/// Up to this share of the limit, the calls in flight can't be the cause of a slower target.
constexpr double kLowUseShare = 0.5;

/// Successes of a window whose times are kept, which bounds the memory at any rate; later ones
/// count for the mean only.
constexpr std::size_t kMaxTimesKept = 1000;

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

/// The time that a tenth of `times` stay below; `times` must not be empty.
double FastestTenth(std::vector<double> times) {
  const auto rank = static_cast<std::ptrdiff_t>(times.size() / 10);
  std::nth_element(times.begin(), times.begin() + rank, times.end());
  return times[rank];
}

double SmoothTime(double smoothed, double current) {
  const double ratio = smoothed > 0 ? current / smoothed : 0;
  if (ratio < 1 / kSuddenChangeRatio || ratio > kSuddenChangeRatio) return current;
  return smoothed + kWindowWeight * (current - smoothed);
}

/// Moves a baseline towards the current time.
void AdaptTime(double* baseline, double current, double rise_weight) {
  if (current < *baseline * kBaselineResetRatio) {
    *baseline = current;
  } else {
    const double weight = current < *baseline ? kBaselineFallWeight : rise_weight;
    *baseline += weight * (current - *baseline);
  }
}

}  // namespace

void ConcurrencyLimit::SetCeiling(std::uint32_t slots, const WarmUp& warm_up, SteadyTime now) {
  if (slots == this->ceiling) return;
  if (this->ceiling == 0) {
    this->ramp_start = now;
    this->ramp = warm_up;
    this->limit = slots;
    this->baseline = {};
    this->smoothed = {};
    this->reduction = {};
    this->measuring_reference = false;
    this->recovery_limit = 0;
    this->probe_at = now + WarmUp().duration;
    this->settled_at = now + kInitialSettleTime;
    this->StartWindow(now);
  }
  if (slots > this->ceiling && this->ceiling > 0) this->limit *= double{1} * slots / this->ceiling;
  this->ceiling = slots;
  this->limit = std::min<double>(this->limit, slots);
}

void ConcurrencyLimit::OnSample(Duration service_time, bool ok, std::uint32_t in_flight,
                                SteadyTime now) {
  if (now < this->settled_at) return;
  if (ok && this->DetectSpeedChange(Seconds(service_time), now)) return;
  Window& current = this->window;
  if (current.Count() == 0) current.start = now;
  (ok ? current.ok_seconds : current.failed_seconds) += Seconds(service_time);
  (ok ? current.ok_count : current.failed_count) += 1;
  if (ok && current.ok_times.size() < kMaxTimesKept) {
    current.ok_times.push_back(Seconds(service_time));
  }
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
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(this->baseline.mean));
}

double ConcurrencyLimit::SampleFactor() const {
  if (this->measuring_reference || this->reduction.probing) return kProbeSampleFactor;
  return this->reduction.pending ? kReductionSampleFactor : 1;
}

bool ConcurrencyLimit::WindowComplete(SteadyTime now) const {
  const Duration age = now - this->window.start;
  const double factor = this->SampleFactor();
  const double required_samples =
      factor * std::clamp(kSamplesPerLimitUnit * this->limit, kMinWindowSamples, kMaxWindowSamples);
  const double count = this->window.Count();
  if (age >= kMinWindow && count >= required_samples) return true;
  if (this->recovery_limit > 0 && age >= kMinWindow && count >= kLowTrafficSamples) return true;
  if (age >= kLowTrafficWindow * factor && count >= kLowTrafficSamples) return true;
  return age >= kMaxWindow * factor;
}

void ConcurrencyLimit::CloseWindow(SteadyTime now) {
  const Window closed_window = std::exchange(this->window, {});
  this->StartWindow(now);
  if (closed_window.ok_count == 0) {
    this->Collapse();
    return;
  }
  if (this->Recover(closed_window)) return;
  this->closed_ok_seconds = closed_window.ok_seconds / closed_window.ok_count;
  const Times window_times = this->TimesPerSuccess(closed_window);
  const double in_flight = closed_window.in_flight_sum / closed_window.Count();
  if (this->baseline.mean == 0) {
    this->baseline = window_times;
    this->verified_seconds = window_times.mean;
  }
  const bool unsmoothed =
      this->settled_windows == 0 || this->reduction.pending || this->measuring_reference;
  this->smoothed = unsmoothed ? window_times : this->Smooth(window_times);
  this->settled_windows += 1;
  const Times times = this->smoothed;
  if (this->EvaluateReduction(times, in_flight, now)) return;
  this->AdaptBaseline(times, in_flight, now);
  const bool in_use = closed_window.max_in_flight >= kInUseShare * std::floor(this->limit);
  const bool saturated = in_flight >= kProbeInUseShare * std::floor(this->limit);
  if ((saturated || this->measuring_reference) && this->Probe(times.mean, in_flight, now)) return;
  const double ratio = this->DelayRatio(times);
  if (ratio > kReduceAboveRatio) {
    if (this->settled_windows < kWindowsToReduce || this->IsLittleUsed(in_flight)) return;
    const double share =
        std::clamp(kReduceAboveRatio / ratio, kMinReductionFactor, kMaxReductionFactor);
    this->Reduce(share, false, times.mean, in_flight, now);
    return;
  }
  this->reduction = {};
  if (in_use) this->Grow(times.mean / this->baseline.mean, now);
}

void ConcurrencyLimit::Collapse() {
  if (this->recovery_limit == 0) this->recovery_limit = this->limit * kRecoveryLimitShare;
  this->reduction = {};
  this->measuring_reference = false;
  this->limit = std::max(1.0, this->limit * kMinReductionFactor);
}

bool ConcurrencyLimit::Recover(const Window& closed_window) {
  if (this->recovery_limit == 0) return false;
  if (closed_window.ok_count < kRecoverySuccessShare * closed_window.Count()) return true;
  if (this->limit >= this->recovery_limit) {
    this->recovery_limit = 0;
    return false;
  }
  if (closed_window.max_in_flight >= kInUseShare * std::floor(this->limit)) {
    this->limit = std::min<double>(this->ceiling, this->limit * 2);
  }
  return true;
}

ConcurrencyLimit::Times ConcurrencyLimit::Smooth(const Times& current) const {
  return {SmoothTime(this->smoothed.mean, current.mean),
          SmoothTime(this->smoothed.fastest, current.fastest)};
}

ConcurrencyLimit::Times ConcurrencyLimit::TimesPerSuccess(const Window& closed_window) const {
  // Fast failures count with at least the baseline, so that they don't make the target look fast.
  const double failed_seconds =
      std::max(closed_window.failed_seconds, closed_window.failed_count * this->baseline.mean);
  const double count = closed_window.Count();
  const double success_share = std::max(closed_window.ok_count / count, kMinSuccessShare);
  const double mean = (closed_window.ok_seconds + failed_seconds) / count;
  return {mean / success_share, FastestTenth(closed_window.ok_times) / success_share};
}

double ConcurrencyLimit::DelayRatio(const Times& current) const {
  return std::min(current.mean / this->baseline.mean, current.fastest / this->baseline.fastest);
}

void ConcurrencyLimit::AdaptBaseline(const Times& current, double mean_in_flight, SteadyTime now) {
  if (current.mean * kVerifiedRatio < this->verified_seconds) this->verified_seconds = 0;
  if (current.mean < this->baseline.mean * kBaselineResetRatio) {
    this->probe_at = now + kProbeDelayAfterChange;
  }
  const double weight = this->RiseWeight(mean_in_flight);
  AdaptTime(&this->baseline.fastest, current.fastest, weight);
  const bool mix_changed = current.mean > kReduceAboveRatio * this->baseline.mean &&
                           current.fastest <= kGrowthBelowRatio * this->baseline.fastest;
  const double mean_weight = mix_changed ? std::max(weight, kBaselineRiseWeight) : weight;
  AdaptTime(&this->baseline.mean, current.mean, mean_weight);
}

double ConcurrencyLimit::RiseWeight(double mean_in_flight) const {
  if (mean_in_flight <= 1) return 1;  // A single call doesn't queue behind others.
  return this->IsLittleUsed(mean_in_flight) ? kBaselineRiseWeight : 0;
}

bool ConcurrencyLimit::IsLittleUsed(double mean_in_flight) const {
  return mean_in_flight <= kLowUseShare * this->limit;
}

void ConcurrencyLimit::Reduce(double share, bool probing, double seconds, double mean_in_flight,
                              SteadyTime now) {
  if (!this->reduction.pending) {
    this->reduction = {true, probing, this->limit, mean_in_flight, seconds};
    this->recent_seconds = this->closed_ok_seconds;
    this->reference_seconds = this->closed_ok_seconds;
  }
  // Starts from the calls in flight: reducing an unused part of the limit would have no effect.
  const double used = std::min(this->limit, mean_in_flight);
  this->limit = std::max(1.0, std::floor(used * share));
  this->StartSettling(now);
}

bool ConcurrencyLimit::EvaluateReduction(const Times& current, double mean_in_flight,
                                         SteadyTime now) {
  const Reduction evaluated = this->reduction;
  if (!evaluated.pending) return false;
  const double in_flight_share = mean_in_flight / evaluated.in_flight;
  if (in_flight_share > kEvaluationInFlightShare) return false;
  this->reduction = {};
  const double max_seconds = evaluated.seconds * (1 - kMinResponseShare * (1 - in_flight_share));
  if (current.mean > max_seconds) {
    this->limit = std::min<double>(evaluated.limit, this->ceiling);
    this->baseline = current;
    this->StartSettling(now);
    if (evaluated.probing) {
      this->EndProbe(current.mean, now);
    } else {
      // Comparing two noisy windows once is not enough evidence for a higher baseline.
      this->verified_seconds = 0;
      this->probe_at = std::min(this->probe_at, now + kVerificationProbeDelay);
    }
    return true;
  }
  if (!evaluated.probing) return false;
  this->baseline.mean = std::min(this->baseline.mean, current.mean);
  this->baseline.fastest = std::min(this->baseline.fastest, current.fastest);
  if (this->limit < kMinProbedLimit) {
    this->EndProbe(current.mean, now);
  } else {
    this->Reduce(kProbeStepFactor, true, current.mean, mean_in_flight, now);
  }
  return true;
}

void ConcurrencyLimit::EndProbe(double verified, SteadyTime now) {
  this->verified_seconds = verified;
  this->probe_at = now + kProbeInterval;
}

bool ConcurrencyLimit::Probe(double seconds, double mean_in_flight, SteadyTime now) {
  if (this->measuring_reference) {
    this->measuring_reference = false;
    this->reduction = {};
    if (mean_in_flight < kProbeInUseShare * std::floor(this->limit)) return false;
    this->Reduce(kProbeStepFactor, true, seconds, mean_in_flight, now);
    return true;
  }
  if (this->reduction.pending || now < this->probe_at) return false;
  if (this->limit < kMinProbedLimit) return false;
  const bool verified =
      this->verified_seconds > 0 && seconds <= kVerifiedRatio * this->verified_seconds;
  if (verified) return false;
  this->measuring_reference = true;
  this->recent_seconds = this->closed_ok_seconds;
  this->reference_seconds = this->closed_ok_seconds;
  return true;
}

bool ConcurrencyLimit::DetectSpeedChange(double seconds, SteadyTime now) {
  if (!this->measuring_reference && !this->reduction.pending) return false;
  this->recent_seconds += kRecentTimeSampleWeight * (seconds - this->recent_seconds);
  const double ratio = this->recent_seconds / this->reference_seconds;
  const bool probing = this->measuring_reference || this->reduction.probing;
  if (ratio > 1 / kSuddenChangeRatio && (ratio < kSuddenChangeRatio || !probing)) return false;
  if (this->reduction.probing) {
    this->limit = std::min<double>(this->reduction.limit, this->ceiling);
  }
  this->reduction = {};
  this->measuring_reference = false;
  this->baseline.mean = std::min(this->baseline.mean, this->recent_seconds);
  this->baseline.fastest *= std::min(ratio, 1.0);
  this->smoothed.mean = this->recent_seconds;
  this->verified_seconds = 0;
  this->probe_at = now + kProbeDelayAfterChange;
  this->StartSettling(now);
  this->StartWindow(now);
  return true;
}

void ConcurrencyLimit::StartSettling(SteadyTime now) {
  this->settled_at = now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
                               kSettleServiceTimes * this->smoothed.mean));
  this->settled_windows = 0;
}

void ConcurrencyLimit::Grow(double ratio, SteadyTime now) {
  if (ratio > kGrowthBelowRatio || this->limit >= this->ceiling) return;
  this->StartSettling(now);
  const double speed = ratio < kFastGrowthBelowRatio ? 2 : 1;
  const double step = std::max(1.0, speed * std::sqrt(this->limit));
  this->limit = std::min<double>(this->ceiling, this->limit + step);
}

void ConcurrencyLimit::StartWindow(SteadyTime now) { this->window = {.start = now}; }

}  // namespace fireflyrun::policy
