#include "common/line_limit.h"

namespace fireflyrun {
namespace {

constexpr Duration kWindow = std::chrono::seconds(1);
/// Of a second's lines, how many hundredths may be in use when a line of the urgency is admitted.
constexpr std::array<std::uint64_t, kLogUrgencies> kShares = {100, 95, 60, 30};
constexpr std::uint64_t kWhole = 100;

}  // namespace

bool LineLimit::Admit(LogUrgency urgency, SteadyTime now) {
  if (now - this->window_start >= kWindow) {
    this->window_start = now;
    this->used = 0;
  }
  const std::uint64_t share = kShares[static_cast<std::size_t>(urgency)];
  if (std::uint64_t{this->used} * kWhole >= this->limit * share) {
    this->CountLeftOut(urgency);
    return false;
  }
  ++this->used;
  return true;
}

void LineLimit::CountLeftOut(LogUrgency urgency) {
  ++this->left_out[static_cast<std::size_t>(urgency)];
  this->unreported = true;
}

LineLimit::Counts LineLimit::TakeReport(SteadyTime now) {
  Counts news{};
  if (!this->unreported || now - this->reported_at < kWindow) return news;
  for (std::size_t i = 0; i < kLogUrgencies; ++i) news[i] = this->left_out[i] - this->reported[i];
  this->reported = this->left_out;
  this->reported_at = now;
  this->unreported = false;
  return news;
}

}  // namespace fireflyrun
