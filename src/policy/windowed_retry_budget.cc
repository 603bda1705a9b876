#include "policy/windowed_retry_budget.h"

#include <algorithm>

namespace fireflyrun::policy {
namespace {

/// Successes are forgotten by whole slices of the window, at their beginning, so a slice is never
/// counted longer than its earliest success.
constexpr int kSlices = 40;

}  // namespace

WindowedRetryBudget::WindowedRetryBudget(const FleetRetryBound& fleet_bound) : bound(fleet_bound) {}

void WindowedRetryBudget::OnSuccess(SteadyTime now) {
  this->Forget(now);
  const bool in_last =
      !this->slices.empty() && now - this->slices.back().begin < this->bound.window / kSlices;
  if (!in_last) this->slices.push_back({now, 0});
  ++this->slices.back().successes;
}

bool WindowedRetryBudget::TrySpend(bool holds_free, SteadyTime now) {
  if (this->Available(holds_free, now) < 1) return false;
  this->spent.push_back(now);
  return true;
}

double WindowedRetryBudget::Available(bool holds_free, SteadyTime now) {
  this->Forget(now);
  const double free = holds_free ? 1 : 0;
  std::uint64_t paying = 0;
  auto slice = this->slices.rbegin();
  const auto pay_from = [&](SteadyTime begin) {
    for (; slice != this->slices.rend() && slice->begin > begin; ++slice) {
      paying += slice->successes;
    }
    return this->bound.EarnedBySuccess() * static_cast<double>(paying) + free;
  };
  double left = pay_from(now - this->bound.window);
  std::size_t since = 0;
  for (auto spend = this->spent.rbegin(); spend != this->spent.rend(); ++spend) {
    ++since;
    left = std::min(left, pay_from(*spend - this->bound.window) - static_cast<double>(since));
  }
  return std::max(0.0, left);
}

void WindowedRetryBudget::Forget(SteadyTime now) {
  const SteadyTime oldest_spend = now - this->bound.window;
  while (!this->spent.empty() && this->spent.front() <= oldest_spend) this->spent.pop_front();
  const SteadyTime oldest_success = oldest_spend - this->bound.window;
  while (!this->slices.empty() && this->slices.front().begin <= oldest_success) {
    this->slices.pop_front();
  }
}

}  // namespace fireflyrun::policy
