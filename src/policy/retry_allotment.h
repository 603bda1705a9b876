#pragma once

#include <cstdint>
#include <map>

#include "policy/retry_grant.h"

namespace fireflyrun::policy {

/// The retries that one call at one node may still make or lend. Retries are conserved: they are
/// minted at the root only, and each is either held here, lent out, or spent. So the tree of calls
/// below a root makes at most as many retries as the root minted, whatever its depth and fan-out.
class RetryAllotment {
 public:
  /// `amount` is what the root mints or what the calling node lent.
  explicit RetryAllotment(std::uint32_t amount) : remaining(amount) {}

  /// Spends one retry at this hop; false if none is left.
  bool TrySpend();
  /// Keeps one retry, if there is any, and lends the rest. The amount may be 0.
  RetryGrant Grant();
  /// Takes back what a grant's answer left unused, at most the grant's amount. Only the first
  /// return of a grant counts; a grant whose answer is lost is never returned.
  void Return(std::uint32_t grant_id, std::uint32_t unused);

  /// Retries held here; also what the answer to the caller returns as unused.
  std::uint32_t Remaining() const { return this->remaining; }
  /// True if a refusal must be marked final.
  bool Exhausted() const { return this->remaining == 0; }
  /// Retries lent and not returned.
  std::uint32_t Outstanding() const;

 private:
  std::uint32_t remaining;
  std::uint32_t last_grant_id = 0;
  std::map<std::uint32_t, std::uint32_t> grants;
};

}  // namespace fireflyrun::policy
