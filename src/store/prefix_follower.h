#pragma once

#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "common/clock.h"
#include "common/timer_subscription.h"
#include "store/key_value.h"
#include "store/store.h"
#include "store/store_backoff.h"
#include "store/store_generation.h"

namespace fireflyrun {
class TimerService;
}

namespace fireflyrun::store {

/// Follows the keys below a prefix: a listing, then the changes after it by a watch, and both again
/// whenever the watch ends. Transient failures are retried with StoreBackoff.
class PrefixFollower : public std::enable_shared_from_this<PrefixFollower> {
 public:
  struct Prefixes {
    std::string listed;
    std::string watched;  ///< As `listed`, or below it.
  };

  struct Hooks {
    /// Receives each listing. Gives the revision up to which it reports the watched keys; the watch
    /// starts after it.
    std::function<Revision(Listing)> on_listing;
    /// Receives each batch that is newer than the listing, in order.
    std::function<void(const ChangeBatch&)> on_batch;
    /// Revisions start anew: what they order so far is no longer comparable. May be empty.
    std::function<void()> on_new_generation;
  };

  /// `part` names the follower in the log.
  PrefixFollower(Store& followed_store, TimerService& timer_service, std::string part,
                 Prefixes followed_prefixes, Hooks follower_hooks);
  ~PrefixFollower() = default;
  PrefixFollower(const PrefixFollower&) = delete;
  PrefixFollower& operator=(const PrefixFollower&) = delete;

  /// Reports the changes after `revision`; 0 begins with a listing.
  void Start(Revision revision);
  /// No hook runs after this.
  void Stop();

 private:
  void List();
  void OnListed(tl::expected<Listing, StoreError> result);
  void OpenWatch(Revision first_revision);
  void OnWatchEnd(const StoreError& error);
  void ListAfter(Duration delay);

  Store& store;
  TimerService& timers;
  std::string log_part;
  Prefixes prefixes;
  Hooks hooks;
  StoreGeneration::Subscription generation_subscription;
  Store::WatchId watch = 0;
  SteadyTime watch_opened;
  StoreBackoff backoff;
  TimerSubscription retry_timer;
  bool stopped = false;
};

}  // namespace fireflyrun::store
