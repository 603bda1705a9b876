#include "policy/byte_budget.h"

#include <algorithm>
#include <chrono>

namespace fireflyrun::policy {

ByteBudget::ByteBudget(double bytes_per_second, double burst_bytes, SteadyTime now)
    : rate(bytes_per_second), capacity(burst_bytes), tokens(burst_bytes), refilled_at(now) {}

bool ByteBudget::TryTake(std::uint64_t bytes, SteadyTime now) {
  this->Refill(now);
  const auto needed = static_cast<double>(bytes);
  const bool full = this->tokens > 0 && this->tokens >= this->capacity;
  if (this->tokens < needed && !full) return false;
  this->tokens -= needed;
  return true;
}

void ByteBudget::Charge(std::uint64_t bytes, SteadyTime now) {
  this->Refill(now);
  this->tokens -= static_cast<double>(bytes);
}

void ByteBudget::SetRate(double bytes_per_second, double burst_bytes, SteadyTime now) {
  this->Refill(now);
  this->rate = bytes_per_second;
  this->capacity = burst_bytes;
  this->tokens = std::min(this->tokens, burst_bytes);
}

double ByteBudget::Available(SteadyTime now) {
  this->Refill(now);
  return this->tokens;
}

void ByteBudget::Refill(SteadyTime now) {
  const double seconds = std::chrono::duration<double>(now - this->refilled_at).count();
  if (seconds <= 0) return;
  this->tokens = std::min(this->capacity, this->tokens + seconds * this->rate);
  this->refilled_at = now;
}

}  // namespace fireflyrun::policy
