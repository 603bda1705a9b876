#pragma once

#include <cstdint>
#include <map>

#include "policy/admission_pressure.h"
#include "policy/priority_key.h"

namespace fireflyrun::policy {

/// A node's admission level, adapted once per interval to the calls offered and completed (after
/// the priority-based admission of DAGOR, Zhou et al. 2018).
///
/// The hash space of each rank is divided into buckets, and the demand offered in each bucket is
/// remembered even while callers hold it back because of the level. Under overload the level drops
/// to the key where the cumulative demand, in priority order, equals the calls that the target
/// completes. Otherwise it loosens in steps, each limited by the demand that it admits.
class AdmissionLevel {
 public:
  /// Counts an offered call, admitted or not.
  void OnOffered(const PriorityKey& key);
  /// Counts a call that the target completed.
  void OnCompleted() { this->completed_in_interval += 1; }
  /// Ends an interval of `seconds`, which must be positive. `capacity`: calls per second that the
  /// concurrency limit would allow at full use.
  void EndInterval(double seconds, AdmissionPressure pressure, double capacity);

  const PriorityKey& Level() const { return this->level; }
  bool Admits(const PriorityKey& key) const { return key <= this->level; }
  /// Calls completed per second, smoothed.
  double CompletedRate() const { return this->completed_rate; }
  /// Calls offered per second, smoothed, at the end of the last interval; includes the remembered
  /// demand that callers hold back. Stored rather than summed, since every answer reads it.
  double OfferedRate() const { return this->offered_rate; }

 private:
  struct Demand {
    double rate = 0;            ///< Calls per second, smoothed.
    std::uint32_t offered = 0;  ///< Calls in the current interval.
  };
  using BucketId = std::uint64_t;

  static BucketId BucketOf(const PriorityKey& key);
  /// The level that admits all of a bucket and nothing after it.
  static PriorityKey LevelOf(BucketId bucket);
  void MeasureRates(double seconds);
  double AdmittedRate() const;
  void Tighten();
  /// Admits further demand of at most `max_added_rate` calls per second, but at least one bucket.
  void Loosen(double max_added_rate);

  std::map<BucketId, Demand> demands;
  PriorityKey level = kOpenLevel;
  double completed_rate = 0;
  double offered_rate = 0;
  std::uint32_t completed_in_interval = 0;
  std::uint32_t loosen_step = 1;  ///< Buckets that the next step may admit.
  bool has_measurement = false;
};

}  // namespace fireflyrun::policy
