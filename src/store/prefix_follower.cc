#include "store/prefix_follower.h"

#include <utility>

#include "common/log_event.h"
#include "common/timer_service.h"

namespace fireflyrun::store {
namespace {

/// A watch that was open for at least this long resets the retry delay.
constexpr Duration kStableWatchDuration = std::chrono::seconds(10);

}  // namespace

PrefixFollower::PrefixFollower(Store& followed_store, TimerService& timer_service, std::string part,
                               Prefixes followed_prefixes, Hooks follower_hooks)
    : store(followed_store),
      timers(timer_service),
      log_part(std::move(part)),
      prefixes(std::move(followed_prefixes)),
      hooks(std::move(follower_hooks)) {
  this->generation_subscription =
      this->store.Generation().OnChange([this](const GenerationChange&) {
        if (!this->stopped && this->hooks.on_new_generation) this->hooks.on_new_generation();
      });
}

void PrefixFollower::Start(Revision revision) {
  if (revision == 0) {
    this->List();
  } else {
    this->OpenWatch(revision + 1);
  }
}

void PrefixFollower::Stop() {
  this->stopped = true;
  this->retry_timer.Reset();
  if (this->watch != 0) this->store.CancelWatch(std::exchange(this->watch, 0));
}

void PrefixFollower::List() {
  this->store.List(this->prefixes.listed, [weak = this->weak_from_this()](auto result) {
    const auto self = weak.lock();
    if (self && !self->stopped) self->OnListed(std::move(result));
  });
}

void PrefixFollower::OnListed(tl::expected<Listing, StoreError> result) {
  if (!result) {
    this->ListAfter(this->backoff.Next());
    return;
  }
  const Revision listed = this->hooks.on_listing(std::move(*result));
  if (!this->stopped) this->OpenWatch(listed + 1);
}

void PrefixFollower::OpenWatch(Revision first_revision) {
  this->watch_opened = SteadyClock::now();
  const std::weak_ptr<PrefixFollower> weak = this->weak_from_this();
  this->watch = this->store.Watch(
      this->prefixes.watched, first_revision,
      [weak](const ChangeBatch& batch) {
        const auto self = weak.lock();
        if (!self || self->stopped) return;
        self->backoff.Reset();
        self->hooks.on_batch(batch);
      },
      [weak](const StoreError& error) {
        const auto self = weak.lock();
        if (self && !self->stopped) self->OnWatchEnd(error);
      });
}

void PrefixFollower::OnWatchEnd(const StoreError& error) {
  this->watch = 0;
  const Duration watched = SteadyClock::now() - this->watch_opened;
  LogEvent(LogLevel::kInfo, this->log_part, "watch-ended")
      .Add("cause", kStoreErrorKindNames.NameOf(error.kind))
      .Add("detail", error.message)
      .Add("watched_ms", watched);
  if (watched >= kStableWatchDuration) this->backoff.Reset();
  const bool is_first_failure = this->backoff.IsReset();
  const Duration delay = this->backoff.Next();
  if (error.kind == StoreErrorKind::kCompacted && is_first_failure) {
    // A listing lets the watch resume after the revisions that are gone; only a repeated loss has
    // to wait.
    this->List();
  } else {
    this->ListAfter(delay);
  }
}

void PrefixFollower::ListAfter(Duration delay) {
  this->retry_timer = this->timers.After(delay, [weak = this->weak_from_this()] {
    const auto self = weak.lock();
    if (self && !self->stopped) self->List();
  });
}

}  // namespace fireflyrun::store
