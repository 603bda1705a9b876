#pragma once

#include <memory>
#include <string>
#include <vector>

#include "tests/integration/fleet.h"

namespace fireflyrun::bench {

/// Calls per second that the two deep targets of a chain fleet can complete together.
inline constexpr double kChainCallsPerSecond = 200;
/// `retries_per_request` in the records of a chain fleet.
inline constexpr int kRetriesPerRequest = 3;

/// The Flag Office's call chain in one region, scaled down: two zones with one target each of
/// calendar, proclaim and clerkdesk. clerkdesk is the deep service; it alone limits the chain. The
/// network between the zones has no added delay.
class ChainFleet {
 public:
  /// `decisions_off` switches off the overload decisions of the nodes: the baseline.
  explicit ChainFleet(bool decisions_off);

  integration::Fleet& Hosts() { return *this->fleet; }
  /// IP:PORT of the entry nodes, to which callers send requests.
  std::vector<std::string> CallerAddresses() const;

  /// Sets the service time of the deep targets to `factor` times the configured one.
  void SlowDeep(double factor) const;
  /// Makes the deep targets answer 500, or makes them succeed again.
  void FailDeep(bool fail) const;

  /// Runs started at the deep targets so far.
  double DeepRuns() const;
  /// Highest number of runs at the deep targets for a single root request. Skips the first
  /// `from_run` runs of each target.
  int MaxDeepRunsPerRoot(const std::vector<std::size_t>& from_run) const;
  /// Runs that each deep target has started so far.
  std::vector<std::size_t> DeepRunCounts() const;

 private:
  std::unique_ptr<integration::Fleet> fleet;
};

}  // namespace fireflyrun::bench
