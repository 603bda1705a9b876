#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "common/clock.h"

namespace fireflyrun::policy {

/// How the limit of a new target rises to its slots. The defaults are for a target that doesn't
/// report whether it is new.
struct WarmUp {
  Duration duration = std::chrono::seconds(5);
  double initial_share = 0.1;  ///< Share of the slots at the start.
};

/// The maximum number of concurrent calls to a target, adapted to the observed service times.
///
/// The algorithm belongs to the delay-gradient family (TCP Vegas, Brakmo and Peterson 1995). For
/// each window of samples, the time per success is compared with a baseline: the time per success
/// without queueing in the target. While the ratio is low and the limit is in use, the limit grows
/// by its square root; above a tolerance, it shrinks by the ratio.
///
/// Calls of several kinds may take very different times, and their shares change. So two times are
/// compared, the mean and that of the fastest tenth, and the smaller ratio counts: a queue delays
/// all calls, a different mix only the mean. Then the mean's baseline follows the mix. While up to
/// half of the limit is in use, it isn't reduced.
///
/// A slow target is not necessarily overloaded. After each reduction, the next window is compared
/// with the one before: if the time did not fall with the calls in flight, concurrency was not the
/// cause, and the reduction is undone and the new time becomes the baseline. Otherwise the
/// reduction is kept.
///
/// Under sustained full use, the baseline can't be distinguished from a permanent queue. So, like
/// the round-trip probes of BBR (Cardwell et al. 2016), the limit is then lowered step by step
/// every `kProbeInterval` until the time no longer falls; that time is the baseline. A target that
/// is as fast as at its last verification is not probed. A probe's windows are long; when the
/// target becomes much faster or slower in the meantime, the probe is aborted and the limit is
/// restored.
class ConcurrencyLimit {
 public:
  static constexpr Duration kProbeInterval = std::chrono::seconds(30);

  /// Sets the ceiling of the limit, the announced slots; 0 stops all calls. A change from 0 starts
  /// a ramp as `warm_up` describes.
  void SetCeiling(std::uint32_t slots, const WarmUp& warm_up, SteadyTime now);
  void SetCeiling(std::uint32_t slots, SteadyTime now) { this->SetCeiling(slots, WarmUp(), now); }

  /// One call ended. `in_flight` includes it. `ok` is false for timeouts and broken exchanges.
  void OnSample(Duration service_time, bool ok, std::uint32_t in_flight, SteadyTime now);

  /// Maximum number of calls in flight; at least 1 unless the ceiling is 0.
  std::uint32_t Limit(SteadyTime now) const;
  std::uint32_t Ceiling() const { return this->ceiling; }
  /// Mean time per success without queueing; zero before the end of the first window.
  Duration Baseline() const;

 private:
  struct Window {
    SteadyTime start;
    double ok_seconds = 0;
    double failed_seconds = 0;
    double in_flight_sum = 0;
    std::uint32_t ok_count = 0;
    std::uint32_t failed_count = 0;
    std::uint32_t max_in_flight = 0;
    std::vector<double> ok_times{};  ///< Service times of the first successes.

    std::uint32_t Count() const { return this->ok_count + this->failed_count; }
  };
  /// Times per success, in seconds.
  struct Times {
    double mean = 0;
    double fastest = 0;  ///< Of the fastest tenth.
  };
  /// State before the latest reduction, to compare with.
  struct Reduction {
    bool pending = false;
    bool probing = false;
    double limit = 0;
    double in_flight = 0;
    double seconds = 0;
  };

  /// Factor on the number of samples and the length of the current window.
  double SampleFactor() const;
  bool WindowComplete(SteadyTime now) const;
  void CloseWindow(SteadyTime now);
  /// `current` smoothed over windows of the same limit.
  Times Smooth(const Times& current) const;
  Times TimesPerSuccess(const Window& closed_window) const;
  /// How much longer calls take than without queueing in the target.
  double DelayRatio(const Times& current) const;
  /// Reduces the limit after a window without success.
  void Collapse();
  /// Raises the limit after a collapse; true while that is in progress.
  bool Recover(const Window& closed_window);
  void AdaptBaseline(const Times& current, double mean_in_flight, SteadyTime now);
  /// Weight with which a longer time raises its baseline.
  double RiseWeight(double mean_in_flight) const;
  bool IsLittleUsed(double mean_in_flight) const;
  void Reduce(double share, bool probing, double seconds, double mean_in_flight, SteadyTime now);
  /// Evaluates the pending reduction; true if that determined the limit.
  bool EvaluateReduction(const Times& current, double mean_in_flight, SteadyTime now);
  void EndProbe(double verified, SteadyTime now);
  /// True if a probe is due or in progress and used the window.
  bool Probe(double seconds, double mean_in_flight, SteadyTime now);
  /// Tracks the service times of successes while a probe or the evaluation of a reduction is in
  /// progress. If they change more than the fall in calls in flight explains, aborts it and returns
  /// true.
  bool DetectSpeedChange(double seconds, SteadyTime now);
  /// Ignores samples until most calls sent before the change of the limit have ended.
  void StartSettling(SteadyTime now);
  void Grow(double ratio, SteadyTime now);
  void StartWindow(SteadyTime now);

  std::uint32_t ceiling = 0;
  double limit = 0;
  Times baseline;
  Times smoothed;
  std::uint32_t settled_windows = 0;  ///< Windows since the last change of the limit.
  SteadyTime ramp_start;
  WarmUp ramp;
  SteadyTime settled_at;  ///< Earlier samples are ignored: they predate the current limit.
  Window window;
  Reduction reduction;
  /// Time per success that last proved independent of the calls in flight; 0: unknown.
  double verified_seconds = 0;
  double recovery_limit = 0;         ///< Limit at which recovery from a collapse ends; 0: none.
  bool measuring_reference = false;  ///< The current window is the reference of a probe.
  double closed_ok_seconds = 0;      ///< Mean service time of successes in the latest window.
  double reference_seconds = 0;  ///< `closed_ok_seconds` at the start of the probe or reduction.
  double recent_seconds = 0;     ///< Smoothed service time of successes since then.
  SteadyTime probe_at;           ///< Earliest start of the next probe.
};

}  // namespace fireflyrun::policy
