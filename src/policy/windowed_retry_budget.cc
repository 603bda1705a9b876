#include "policy/windowed_retry_budget.h"

#include <algorithm>

namespace fireflyrun::policy {
namespace {

/// Slices per window. Successes expire by whole slices, counted from the beginning of the slice, so
/// no success counts for longer than the window.
constexpr int kSlicesPerWindow = 40;

}  // namespace

WindowedRetryBudget::WindowedRetryBudget(const FleetRetryBound& fleet_bound) : bound(fleet_bound) {}

void WindowedRetryBudget::OnSuccess(SteadyTime now) {
  this->Expire(now);
  const bool fits_last_slice = !this->slices.empty() && now - this->slices.back().begin <
                                                            this->bound.window / kSlicesPerWindow;
  if (!fits_last_slice) this->slices.push_back({now, 0});
  ++this->slices.back().successes;
  ++this->successes;
}

bool WindowedRetryBudget::TrySpend(bool has_free_retry, SteadyTime now) {
  if (this->Available(has_free_retry, now) < 1) return false;
  this->spent.push_back(now);
  return true;
}

double WindowedRetryBudget::Available(bool has_free_retry, SteadyTime now) {
  this->Expire(now);
  const double earned = this->bound.RetriesPerSuccess() * static_cast<double>(this->successes);
  const double free = has_free_retry ? 1 : 0;
  return std::max(0.0, earned + free - static_cast<double>(this->spent.size()));
}

void WindowedRetryBudget::Expire(SteadyTime now) {
  const SteadyTime oldest = now - this->bound.window;
  while (!this->slices.empty() && this->slices.front().begin <= oldest) {
    this->successes -= this->slices.front().successes;
    this->slices.pop_front();
  }
  while (!this->spent.empty() && this->spent.front() <= oldest) this->spent.pop_front();
}

}  // namespace fireflyrun::policy
