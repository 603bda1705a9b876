#pragma once

#include <cstdint>

#include "common/clock.h"

namespace fireflyrun::policy {

/// A token bucket in bytes for this node's share of the inter-region link. Starts full.
class ByteBudget {
 public:
  /// `burst_bytes` is the capacity of the bucket. Both are at least 0.
  ByteBudget(double bytes_per_second, double burst_bytes, SteadyTime now);

  /// Takes `bytes` if the budget is not in debt and either holds them or is full. A message larger
  /// than the burst therefore passes, and its debt delays the messages after it.
  bool TryTake(std::uint64_t bytes, SteadyTime now);
  /// Takes bytes that are sent or received regardless of the budget, such as an answer's; may go
  /// into debt.
  void Charge(std::uint64_t bytes, SteadyTime now);
  /// Changes this node's share, for instance when the number of nodes changes; keeps the bytes
  /// held, up to the new burst.
  void SetRate(double bytes_per_second, double burst_bytes, SteadyTime now);
  /// Bytes held; negative when in debt.
  double Available(SteadyTime now);

 private:
  void Refill(SteadyTime now);

  double rate;
  double capacity;
  double tokens;
  SteadyTime refilled_at;
};

}  // namespace fireflyrun::policy
