#pragma once

#include <cstddef>
#include <cstdint>

#include "common/clock.h"

namespace fireflyrun::policy {

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
/// stands. The baseline falls with any faster window, and rises otherwise only in windows of little
/// use.
class ConcurrencyLimit {
 public:
  /// The announced slots: the ceiling of the limit; 0 stops all calls. A rise from 0 starts a ramp.
  void SetCeiling(std::uint32_t slots, SteadyTime now);

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
  /// The window that caused the latest reduction.
  struct Reduction {
    bool pending = false;
    double limit = 0;
    double in_flight = 0;
    double seconds = 0;
  };

  bool WindowComplete(SteadyTime now) const;
  void CloseWindow(SteadyTime now);
  double SecondsPerSuccess(const Window& closed) const;
  void AdaptBaseline(double seconds, double mean_in_flight);
  void Reduce(double factor, double seconds, double mean_in_flight, SteadyTime now);
  /// True if the reduction was judged and undone.
  bool UndoUselessReduction(double seconds, double mean_in_flight);
  void Grow(double ratio);
  void StartWindow(SteadyTime now);

  std::uint32_t ceiling = 0;
  double limit = 0;
  double baseline_seconds = 0;
  SteadyTime ramp_start;
  SteadyTime reduced_at;
  Window window;
  Reduction reduction;
};

}  // namespace fireflyrun::policy
