#include "store/binding_lease.h"

#include <utility>

#include "common/timers.h"
#include "store/key_binder.h"
#include "store/store.h"

namespace fireflyrun::store {
namespace {

constexpr std::chrono::hours kReplacementPeriod{1};
constexpr std::chrono::minutes kLeaseMargin{10};
/// Long enough that the last binding made under a lease lasts for kBindingLifetime.
constexpr std::chrono::seconds kLeaseTimeToLive =
    kBindingLifetime + kReplacementPeriod + kLeaseMargin;

}  // namespace

BindingLease::BindingLease(Store& key_value_store, Timers& time_source)
    : store(key_value_store),
      timers(time_source),
      generation_subscription(
          this->store.Generation().OnChange([this](const GenerationChange&) { this->lease = 0; })) {
}

void BindingLease::Get(Handler handler) {
  if (this->lease != 0 && this->timers.Now() - this->granted_at < kReplacementPeriod) {
    handler(this->lease);
    return;
  }
  this->pending.push_back(std::move(handler));
  if (this->pending.size() > 1) return;
  const SteadyTime requested_at = this->timers.Now();
  this->store.GrantLease(kLeaseTimeToLive,
                         [weak = this->weak_from_this(), requested_at](auto granted) {
                           if (const auto self = weak.lock()) {
                             self->OnGranted(requested_at, granted);
                           }
                         });
}

void BindingLease::Discard(LeaseId expired) {
  if (this->lease == expired) this->lease = 0;
}

void BindingLease::OnGranted(SteadyTime requested_at,
                             const tl::expected<LeaseId, StoreError>& granted) {
  if (granted) {
    this->lease = *granted;
    this->granted_at = requested_at;
  }
  const std::vector<Handler> handlers = std::exchange(this->pending, {});
  for (const Handler& handler : handlers) {
    handler(granted);
  }
}

}  // namespace fireflyrun::store
