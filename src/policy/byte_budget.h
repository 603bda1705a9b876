#pragma once

#include <cstdint>

#include "common/clock.h"

namespace fireflyrun::policy {

/// A token bucket in bytes for this node's share of the inter-region link. Starts full.
class ByteBudget {
 public:
  /// `burst_bytes` is the most that is held; both at least 0.
  ByteBudget(double bytes_per_second, double burst_bytes, SteadyTime now);

  /// Takes `bytes` if the budget is not in debt and either holds them or is full; a message larger
  /// than the burst therefore passes, and the debt delays those after it.
  bool TryTake(std::uint64_t bytes, SteadyTime now);
  /// Takes bytes that were sent or received in any case, such as an answer's; may go into debt.
  void Charge(std::uint64_t bytes, SteadyTime now);
  /// Changes the share, for instance when the number of nodes changes; keeps what is held.
  void SetRate(double bytes_per_second, double burst_bytes, SteadyTime now);
  /// Bytes held; negative in debt.
  double Available(SteadyTime now);

 private:
  void Refill(SteadyTime now);

  double rate;
  double capacity;
  double tokens;
  SteadyTime refilled_at;
};

}  // namespace fireflyrun::policy
