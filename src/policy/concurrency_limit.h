#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "common/clock.h"

namespace fireflyrun::policy {

/// How the limit of a new target rises to its slots. The initial values are for a target that
/// doesn't tell whether it is new.
struct WarmUp {
  Duration duration = std::chrono::seconds(5);
  double initial_share = 0.1;  ///< Of the slots.
};

/// The number of calls that a target is given at once, adapted from observed service times.
///
/// The algorithm is of the delay-gradient family (TCP Vegas, Brakmo and Peterson 1995). For each
/// window of samples the mean time per success is compared with a baseline, the time per success
/// without queueing in the target: well under the tolerance the limit grows by its square root,
/// beyond it the limit shrinks by the ratio. It grows only while it is in use.
///
/// A slow target is not always an overloaded one. After each reduction the next window is compared
/// with the one before: if the time did not fall with the calls in flight, concurrency was not the
/// cause; the reduction is undone and the baseline takes the new time. If it did, the reduction
/// stands.
///
/// Under sustained full use a baseline can't be told from a queue that always stands. So, like the
/// round-trip probes of BBR (Cardwell et al. 2016), the limit is then lowered step by step every
/// `kProbeInterval` until the time no longer falls; that time is the baseline. A target that is as
/// fast as when it was verified last is not probed. A probe's windows are long; when the target
/// becomes much faster or slower in the meantime, the probe is given up and the limit restored.
class ConcurrencyLimit {
 public:
  static constexpr Duration kProbeInterval = std::chrono::seconds(30);

  /// The announced slots: the ceiling of the limit; 0 stops all calls. A rise from 0 starts a ramp
  /// that lasts for `warm_up`.
  void SetCeiling(std::uint32_t slots, const WarmUp& warm_up, SteadyTime now);
  void SetCeiling(std::uint32_t slots, SteadyTime now) { this->SetCeiling(slots, WarmUp(), now); }

  /// One call ended. `in_flight` counts it too. `ok` is false for timeouts and broken exchanges.
  void OnSample(Duration service_time, bool ok, std::uint32_t in_flight, SteadyTime now);

  /// Calls that may be in flight now; at least 1 unless the ceiling is 0.
  std::uint32_t Limit(SteadyTime now) const;
  std::uint32_t Ceiling() const { return this->ceiling; }
  /// Zero before the first window ended.
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

    std::uint32_t Count() const { return this->ok_count + this->failed_count; }
  };
  /// What was observed before the latest reduction.
  struct Reduction {
    bool pending = false;
    bool probing = false;
    double limit = 0;
    double in_flight = 0;
    double seconds = 0;
  };

  double SampleFactor() const;
  bool WindowComplete(SteadyTime now) const;
  void CloseWindow(SteadyTime now);
  /// The time per success, smoothed over windows of the same limit.
  double Smooth(double seconds) const;
  double SecondsPerSuccess(const Window& closed) const;
  void Collapse();
  /// True while the limit comes back from a collapse.
  bool Recover(const Window& closed);
  void AdaptBaseline(double seconds, double mean_in_flight, SteadyTime now);
  void Reduce(double share, bool probing, double seconds, double mean_in_flight, SteadyTime now);
  /// Judges the pending reduction; true if that decided the limit.
  bool JudgeReduction(double seconds, double mean_in_flight, SteadyTime now);
  void EndProbe(double verified, SteadyTime now);
  /// True if a probe is due or under way and the window was used for it.
  bool Probe(double seconds, double mean_in_flight, SteadyTime now);
  /// Follows the service times of successes while a probe or the judgement of a reduction is under
  /// way: true if they changed by more than fewer calls in flight explain, and it was given up.
  bool NoticeChange(double seconds, SteadyTime now);
  void Settle(SteadyTime now);
  void Grow(double ratio, SteadyTime now);
  void StartWindow(SteadyTime now);

  std::uint32_t ceiling = 0;
  double limit = 0;
  double baseline_seconds = 0;
  double smoothed_seconds = 0;
  std::uint32_t settled_windows = 0;  ///< Windows since the limit changed.
  SteadyTime ramp_start;
  WarmUp ramp;
  SteadyTime settled_at;  ///< Samples before say nothing of the limit in force.
  Window window;
  Reduction reduction;
  /// Time per success when last found not to fall with the calls in flight; 0: unknown.
  double verified_seconds = 0;
  double recover_to = 0;         ///< 0: no collapse to recover from.
  bool measuring = false;        ///< The next window is the reference of a probe.
  double closed_ok_seconds = 0;  ///< Mean service time of successes in the latest window.
  double reference_seconds = 0;  ///< The same, when the probe or reduction began.
  double recent_seconds = 0;     ///< Smoothed service time of successes since then.
  SteadyTime probe_at;
};

}  // namespace fireflyrun::policy
