#include "store/binding_lease.h"

#include <utility>

#include "common/timers.h"
#include "store/key_binder.h"
#include "store/store.h"

namespace fireflyrun::store {
namespace {

constexpr std::chrono::hours kReplacementPeriod{1};
constexpr std::chrono::minutes kLeaseMargin{10};
/// An answer takes a few milliseconds; a request that waits so long may wait for ever.
constexpr std::chrono::milliseconds kRepeatTime{500};
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
  const SteadyTime now = this->timers.Now();
  const bool is_due = this->open_requests == 0 || now - this->requested_at >= kRepeatTime;
  if (is_due) this->Request(now);
}

void BindingLease::Request(SteadyTime now) {
  ++this->open_requests;
  this->requested_at = now;
  this->store.GrantLease(kLeaseTimeToLive, [weak = this->weak_from_this(), now](auto granted) {
    if (const auto self = weak.lock()) self->OnGranted(now, granted);
  });
}

void BindingLease::Discard(LeaseId expired) {
  if (this->lease == expired) this->lease = 0;
}

void BindingLease::OnGranted(SteadyTime sent_at, const tl::expected<LeaseId, StoreError>& granted) {
  --this->open_requests;
  if (granted) {
    this->lease = *granted;
    this->granted_at = sent_at;
  }
  const bool may_succeed = !granted && this->open_requests > 0;
  if (may_succeed) return;
  const std::vector<Handler> handlers = std::exchange(this->pending, {});
  for (const Handler& handler : handlers) {
    handler(granted);
  }
}

}  // namespace fireflyrun::store
