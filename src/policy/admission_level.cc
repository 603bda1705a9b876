#include "policy/admission_level.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace fireflyrun::policy {
namespace {

constexpr unsigned kBucketBits = 8;  ///< 256 buckets a rank.
constexpr unsigned kHashBits = 32 - kBucketBits;
constexpr std::uint32_t kBucketsPerRank = 1U << kBucketBits;
constexpr std::uint32_t kLastRank = 63;  ///< Ranks beyond share its buckets.
constexpr double kSmoothingSeconds = 0.5;
/// What demand hidden by the level keeps of its rate in one interval.
constexpr double kHiddenDemandKept = 0.98;
/// Goals of a tightened level, as shares of the rate completed and of the rate admitted.
constexpr double kCompletedGoal = 0.97;
constexpr double kAdmittedGoal = 0.95;
constexpr double kLeastGoal = 0.9;
/// Growth of the admitted demand in one interval.
constexpr double kBusyGrowth = 0.03;
constexpr double kIdleGrowth = 0.25;
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
      this->Loosen(kBusyGrowth * this->completed_rate);
      return;
    case AdmissionPressure::kIdle:
      this->Loosen(kIdleGrowth * std::max(this->completed_rate, capacity));
      return;
  }
}

AdmissionLevel::BucketId AdmissionLevel::BucketOf(const PriorityKey& key) {
  const std::uint64_t rank = std::min(key.rank, kLastRank);
  return (rank << kBucketBits) | (key.hash >> kHashBits);
}

PriorityKey AdmissionLevel::LevelOf(BucketId bucket) {
  const auto rank = static_cast<std::uint32_t>(bucket >> kBucketBits);
  const auto part = static_cast<std::uint32_t>(bucket % kBucketsPerRank);
  return {rank, (part << kHashBits) | ((1U << kHashBits) - 1)};
}

void AdmissionLevel::MeasureRates(double seconds) {
  const double weight = this->measured ? 1 - std::exp(-seconds / kSmoothingSeconds) : 1;
  this->measured = true;
  this->offered_rate = 0;
  for (auto& [bucket, demand] : this->demands) {
    const double rate = demand.rate + weight * (demand.offered / seconds - demand.rate);
    // Callers' nodes refuse what the level hides, so its demand is not seen here.
    const bool hidden = LevelOf(bucket) > this->level;
    demand.rate = hidden ? std::max(rate, demand.rate * kHiddenDemandKept) : rate;
    demand.offered = 0;
    this->offered_rate += demand.rate;
  }
  this->completed_rate += weight * (this->completed_now / seconds - this->completed_rate);
  this->completed_now = 0;
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
  const double wanted =
      std::min(kCompletedGoal * this->completed_rate, kAdmittedGoal * this->AdmittedRate());
  const double goal = std::max(wanted, kLeastGoal * this->completed_rate);
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

void AdmissionLevel::Loosen(double most_added) {
  if (this->level == kOpenLevel) return;
  double added = 0;
  auto next = this->demands.upper_bound(BucketOf(this->level));
  for (std::uint32_t step = 0; step < this->loosen_step; ++step) {
    if (next == this->demands.end()) {
      this->level = kOpenLevel;
      return;
    }
    added += next->second.rate;
    if (step > 0 && added > most_added) break;
    this->level = LevelOf(next->first);
    ++next;
  }
  this->loosen_step = std::min(this->loosen_step * 2, kMaxLoosenStep);
}

}  // namespace fireflyrun::policy
