#pragma once

#include <memory>
#include <string>
#include <vector>

#include "tests/integration/fleet.h"

namespace fireflyrun::bench {

/// Calls a second that the two deep targets of a chain fleet can complete.
inline constexpr double kChainCapacity = 200;
/// Retries for one root request in the records of a chain fleet.
inline constexpr int kRetryAllowance = 3;

/// The Flag Office's chain in one region, scaled down: two zones with a target each of calendar,
/// proclaim and clerkdesk. clerkdesk is the deep service; it alone limits the chain. No delay is
/// put between the zones.
class ChainFleet {
 public:
  /// `decisions_off`: the baseline.
  explicit ChainFleet(bool decisions_off);

  integration::Fleet& Hosts() { return *this->fleet; }
  /// Where callers send their requests.
  std::vector<std::string> CallerAddresses() const;

  /// The deep targets' service time becomes `factor` times as long.
  void SlowDeep(double factor) const;
  /// The deep targets answer 500, or stop doing so.
  void FailDeep(bool fail) const;

  /// Runs begun at the deep targets so far.
  double DeepRuns() const;
  /// The most runs at the deep targets for one root whose tag is not among `from_run` earlier
  /// runs of each target.
  int MostDeepRunsOfOneRoot(const std::vector<std::size_t>& from_run) const;
  /// Runs that each deep target has begun so far.
  std::vector<std::size_t> DeepRunCounts() const;

 private:
  std::unique_ptr<integration::Fleet> fleet;
};

}  // namespace fireflyrun::bench
