#include "policy/admission_level.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace fireflyrun::policy {
namespace {

constexpr unsigned kBucketBits = 8;  ///< 256 buckets per rank.
constexpr unsigned kHashBits = 32 - kBucketBits;
constexpr std::uint32_t kBucketsPerRank = 1U << kBucketBits;
constexpr std::uint32_t kMaxRank = 63;  ///< Higher ranks share its buckets.
constexpr double kSmoothingSeconds = 0.5;
/// Share of its rate that demand beyond the level keeps per interval.
constexpr double kHiddenDemandRetention = 0.98;
/// A tightened level admits the smaller of these shares of the completed and of the admitted rate,
/// but at least the minimum share of the completed rate.
constexpr double kCompletedRateGoal = 0.97;
constexpr double kAdmittedRateGoal = 0.95;
constexpr double kMinCompletedRateGoal = 0.9;
/// Maximum growth of the admitted demand per interval, as a share of the completed rate (when idle,
/// of the capacity if that is higher).
constexpr double kMaxBusyGrowth = 0.03;
constexpr double kMaxIdleGrowth = 0.25;
constexpr std::uint32_t kMaxLoosenStep = kBucketsPerRank / 4;

}  // namespace

void AdmissionLevel::OnOffered(const PriorityKey& key) {
  this->demands[BucketOf(key)].offered += 1;
}

void AdmissionLevel::EndInterval(double seconds, AdmissionPressure pressure, double capacity) {
  this->MeasureRates(seconds);
  switch (pressure) {
    case AdmissionPressure::kOverloaded:
      this->Tighten();
      return;
    case AdmissionPressure::kBusy:
      this->Loosen(kMaxBusyGrowth * this->completed_rate);
      return;
    case AdmissionPressure::kIdle:
      this->Loosen(kMaxIdleGrowth * std::max(this->completed_rate, capacity));
      return;
  }
}

AdmissionLevel::BucketId AdmissionLevel::BucketOf(const PriorityKey& key) {
  const std::uint64_t rank = std::min(key.rank, kMaxRank);
  return (rank << kBucketBits) | (key.hash >> kHashBits);
}

PriorityKey AdmissionLevel::LevelOf(BucketId bucket) {
  const auto rank = static_cast<std::uint32_t>(bucket >> kBucketBits);
  const auto bucket_in_rank = static_cast<std::uint32_t>(bucket % kBucketsPerRank);
  return {rank, (bucket_in_rank << kHashBits) | ((1U << kHashBits) - 1)};
}

void AdmissionLevel::MeasureRates(double seconds) {
  const double weight = this->has_measurement ? 1 - std::exp(-seconds / kSmoothingSeconds) : 1;
  this->has_measurement = true;
  this->offered_rate = 0;
  for (auto& [bucket, demand] : this->demands) {
    const double rate = demand.rate + weight * (demand.offered / seconds - demand.rate);
    // Callers' nodes refuse most calls beyond the level, so this node doesn't see their demand.
    const bool hidden = LevelOf(bucket) > this->level;
    demand.rate = hidden ? std::max(rate, demand.rate * kHiddenDemandRetention) : rate;
    demand.offered = 0;
    this->offered_rate += demand.rate;
  }
  this->completed_rate += weight * (this->completed_in_interval / seconds - this->completed_rate);
  this->completed_in_interval = 0;
}

double AdmissionLevel::AdmittedRate() const {
  double total = 0;
  for (const auto& [bucket, demand] : this->demands) {
    if (LevelOf(bucket) > this->level) break;
    total += demand.rate;
  }
  return total;
}

void AdmissionLevel::Tighten() {
  this->loosen_step = 1;
  const double desired =
      std::min(kCompletedRateGoal * this->completed_rate, kAdmittedRateGoal * this->AdmittedRate());
  const double goal = std::max(desired, kMinCompletedRateGoal * this->completed_rate);
  double admitted = 0;
  std::optional<BucketId> last_admitted;
  for (const auto& [bucket, demand] : this->demands) {
    admitted += demand.rate;
    if (last_admitted && admitted > goal) {
      this->level = std::min(this->level, LevelOf(*last_admitted));
      return;
    }
    last_admitted = bucket;
  }
}

void AdmissionLevel::Loosen(double max_added_rate) {
  if (this->level == kOpenLevel) return;
  double added = 0;
  auto next = this->demands.upper_bound(BucketOf(this->level));
  for (std::uint32_t step = 0; step < this->loosen_step; ++step) {
    if (next == this->demands.end()) {
      this->level = kOpenLevel;
      return;
    }
    added += next->second.rate;
    if (step > 0 && added > max_added_rate) break;
    this->level = LevelOf(next->first);
    ++next;
  }
  this->loosen_step = std::min(this->loosen_step * 2, kMaxLoosenStep);
}

}  // namespace fireflyrun::policy
