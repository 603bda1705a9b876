#pragma once

#include <cstdint>
#include <map>

#include "policy/admission_pressure.h"
#include "policy/priority_key.h"

namespace fireflyrun::policy {

/// A node's admission level, adapted once an interval from what was offered and completed (after
/// the priority-based admission of DAGOR, Zhou et al. 2018).
///
/// The hash space of each rank is divided into buckets, and the demand offered in each is
/// remembered, also while the level hides it. Under overload the level is cut to where the demand
/// in order of favour equals the calls that the target completes; else it reopens in steps, each
/// limited by the demand it lets in.
class AdmissionLevel {
 public:
  /// Counts an offered call, whether it is admitted or not.
  void OnOffered(const PriorityKey& key);
  /// Counts a call that the target completed.
  void OnCompleted() { this->completed_now += 1; }
  /// Ends an interval of `seconds`, which must be positive. `capacity`: calls a second that the
  /// limit would let through if it were in use.
  void EndInterval(double seconds, AdmissionPressure pressure, double capacity);

  const PriorityKey& Level() const { return this->level; }
  bool Admits(const PriorityKey& key) const { return key <= this->level; }
  /// Calls completed a second, smoothed.
  double CompletedRate() const { return this->completed_rate; }
  /// Calls offered a second, smoothed, as far as they are seen or remembered, at the end of the
  /// last interval. Asked for with every answer.
  double OfferedRate() const { return this->offered_rate; }

 private:
  struct Demand {
    double rate = 0;  ///< Calls a second, smoothed.
    std::uint32_t offered = 0;
  };
  using BucketId = std::uint64_t;

  static BucketId BucketOf(const PriorityKey& key);
  /// The level that admits all of a bucket and nothing after it.
  static PriorityKey LevelOf(BucketId bucket);
  void MeasureRates(double seconds);
  double AdmittedRate() const;
  void Tighten();
  /// Lets in further demand of at most `most_added` calls a second, but at least one bucket.
  void Loosen(double most_added);

  std::map<BucketId, Demand> demands;
  PriorityKey level = kOpenLevel;
  double completed_rate = 0;
  double offered_rate = 0;
  std::uint32_t completed_now = 0;
  std::uint32_t loosen_step = 1;  ///< Buckets.
  bool measured = false;
};

}  // namespace fireflyrun::policy
