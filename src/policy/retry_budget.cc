#include "policy/retry_budget.h"

#include <algorithm>

namespace fireflyrun::policy {

RetryBudget::RetryBudget(double success_ratio, double burst)
    : ratio(success_ratio), capacity(burst), tokens(burst) {}

void RetryBudget::OnSuccess() {
  this->tokens = std::min(this->capacity, this->tokens + this->ratio);
}

bool RetryBudget::TrySpend() {
  if (this->tokens < 1) return false;
  this->tokens -= 1;
  return true;
}

void RetryBudget::Reconfigure(double success_ratio, double burst) {
  this->ratio = success_ratio;
  this->capacity = burst;
  this->tokens = std::min(this->tokens, burst);
}

}  // namespace fireflyrun::policy
