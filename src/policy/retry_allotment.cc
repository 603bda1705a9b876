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
  const RetryGrant loan{++this->last_grant_id, this->remaining - kept};
  this->remaining = kept;
  if (loan.amount > 0) this->grants.emplace(loan.id, loan.amount);
  return loan;
}

void RetryAllotment::Return(std::uint32_t grant_id, std::uint32_t unused) {
  const auto loan = this->grants.find(grant_id);
  if (loan == this->grants.end()) return;
  this->remaining += std::min(unused, loan->second);
  this->grants.erase(loan);
}

std::uint32_t RetryAllotment::Outstanding() const {
  std::uint32_t total = 0;
  for (const auto& [id, amount] : this->grants) total += amount;
  return total;
}

}  // namespace fireflyrun::policy
