#include "policy/retry_allotment.h"

#include <algorithm>

namespace fireflyrun::policy {

bool RetryAllotment::TrySpend() {
  if (this->remaining == 0) return false;
  this->remaining -= 1;
  return true;
}

RetryGrant RetryAllotment::Grant() {
  const std::uint32_t kept = std::min<std::uint32_t>(this->remaining, 1);
  const RetryGrant grant{++this->last_grant_id, this->remaining - kept};
  this->remaining = kept;
  if (grant.amount > 0) this->grants.emplace(grant.id, grant.amount);
  return grant;
}

void RetryAllotment::Return(std::uint32_t grant_id, std::uint32_t unused) {
  const auto grant = this->grants.find(grant_id);
  if (grant == this->grants.end()) return;
  this->remaining += std::min(unused, grant->second);
  this->grants.erase(grant);
}

std::uint32_t RetryAllotment::Outstanding() const {
  std::uint32_t total = 0;
  for (const auto& [id, amount] : this->grants) total += amount;
  return total;
}

}  // namespace fireflyrun::policy
