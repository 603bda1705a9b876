#pragma once

#include <cstdint>
#include <map>

#include "policy/retry_grant.h"

namespace fireflyrun::policy {

/// The retries that one call at one node may still make or grant to the calls made for it. Retries
/// are conserved: only the root issues them, and each is either held here, granted, or spent. So
/// the call tree below a root makes at most as many retries as the root issued, whatever its depth
/// and fan-out.
class RetryAllotment {
 public:
  /// `amount`: retries issued by the root or granted by the calling node.
  explicit RetryAllotment(std::uint32_t amount) : remaining(amount) {}

  /// Spends one retry at this hop; false if none is left.
  bool TrySpend();
  /// Keeps one retry, if any is left, and grants the rest. The amount may be 0.
  RetryGrant Grant();
  /// Takes back the retries that a call left unused, at most the amount of its grant. Only the
  /// first return of a grant counts; a grant whose answer is lost is never returned.
  void Return(std::uint32_t grant_id, std::uint32_t unused);

  /// Retries held here; the answer to the caller returns them as unused.
  std::uint32_t Remaining() const { return this->remaining; }
  /// True if no retry is left, so that a refusal must be marked final.
  bool Exhausted() const { return this->remaining == 0; }
  /// Retries granted and not returned.
  std::uint32_t Outstanding() const;

 private:
  std::uint32_t remaining;
  std::uint32_t last_grant_id = 0;
  std::map<std::uint32_t, std::uint32_t> grants;
};

}  // namespace fireflyrun::policy
