#include "store/binding_lease.h"

#include <utility>

#include "store/key_binder.h"
#include "store/store.h"

namespace fireflyrun::store {
namespace {

constexpr std::chrono::hours kUsePeriod{1};
constexpr std::chrono::minutes kMargin{10};
/// The last binding made under a lease still stands for kBindingLifetime.
constexpr std::chrono::seconds kLeaseTime = kBindingLifetime + kUsePeriod + kMargin;

}  // namespace

void BindingLease::Get(Handler handler) {
  if (this->lease != 0 && SteadyClock::now() - this->granted_at < kUsePeriod) {
    handler(this->lease);
    return;
  }
  this->waiting.push_back(std::move(handler));
  if (this->waiting.size() > 1) return;
  const SteadyTime asked = SteadyClock::now();
  this->store.GrantLease(kLeaseTime, [weak = this->weak_from_this(), asked](auto granted) {
    if (const auto self = weak.lock()) self->OnGranted(asked, granted);
  });
}

void BindingLease::Forget(LeaseId lapsed) {
  if (this->lease == lapsed) this->lease = 0;
}

void BindingLease::OnGranted(SteadyTime asked, const tl::expected<LeaseId, StoreError>& granted) {
  if (granted) {
    this->lease = *granted;
    this->granted_at = asked;
  }
  const std::vector<Handler> handlers = std::exchange(this->waiting, {});
  for (const Handler& handler : handlers) {
    handler(granted);
  }
}

}  // namespace fireflyrun::store
