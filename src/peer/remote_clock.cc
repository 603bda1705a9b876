#include "peer/remote_clock.h"

#include <algorithm>

namespace fireflyrun::peer {
namespace {

/// Two clocks drift apart by at most one part in so many.
constexpr int kDriftDivisor = 2000;

}  // namespace

void RemoteClock::Add(BootTime sent, BootTime remote, BootTime received) {
  const Duration lower = remote.time_since_epoch() - received.time_since_epoch();
  const Duration upper = remote.time_since_epoch() - sent.time_since_epoch();
  const Duration previous = this->LeadAt(received);
  const bool consistent = this->known && previous <= upper;
  this->lead = consistent ? std::max(previous, lower) : lower;
  this->learned_at = received;
  this->known = true;
}

std::optional<BootTime> RemoteClock::At(BootTime local) const {
  if (!this->known) return std::nullopt;
  return BootTime(local.time_since_epoch() + this->LeadAt(local));
}

Duration RemoteClock::LeadAt(BootTime local) const {
  return this->lead - std::max(local - this->learned_at, Duration::zero()) / kDriftDivisor;
}

}  // namespace fireflyrun::peer
