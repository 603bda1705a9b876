#include "policy/retry_allotment.h"

#include <algorithm>

namespace fireflyrun::policy {

bool RetryAllotment::TrySpend() {
  if (this->remaining == 0) return false;
  this->remaining -= 1;
  return true;
}

RetryLoan RetryAllotment::Lend() {
  const std::uint32_t kept = std::min<std::uint32_t>(this->remaining, 1);
  const RetryLoan loan{++this->last_loan_id, this->remaining - kept};
  this->remaining = kept;
  if (loan.amount > 0) this->loans.emplace(loan.id, loan.amount);
  return loan;
}

void RetryAllotment::Return(std::uint32_t loan_id, std::uint32_t unused) {
  const auto loan = this->loans.find(loan_id);
  if (loan == this->loans.end()) return;
  this->remaining += std::min(unused, loan->second);
  this->loans.erase(loan);
}

std::uint32_t RetryAllotment::Outstanding() const {
  std::uint32_t total = 0;
  for (const auto& [id, amount] : this->loans) total += amount;
  return total;
}

}  // namespace fireflyrun::policy
