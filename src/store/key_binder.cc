#include "store/key_binder.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "common/log_event.h"
#include "common/timer_subscription.h"
#include "common/timers.h"
#include "store/binding_lease.h"
#include "store/key_binding.h"
#include "store/recent_bindings.h"
#include "store/store.h"

namespace fireflyrun::store {
namespace {

/// Encodes as hexadecimal with a terminator, so that no key is a prefix of another.
std::string EncodeKey(std::string_view key) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(key.size() * 2 + 1);
  for (const char c : key) {
    const auto byte = static_cast<unsigned char>(c);
    text += kDigits[byte >> 4];
    text += kDigits[byte & 0xF];
  }
  text += '.';
  return text;
}

}  // namespace

/// What a caller asked for, until it is answered.
struct KeyBinder::Request {
  std::string store_key;
  std::string from_ticket;  ///< Empty for a key that is to be bound.
  std::string to_ticket;
  Handler handler;
  int attempts = 0;              ///< So far.
  std::uint64_t generation = 0;  ///< Of the store, at the start of the last attempt.
};

class KeyBinder::Implementation : public std::enable_shared_from_this<Implementation> {
 public:
  Implementation(Store& key_value_store, Timers& timer_service, const std::string& cluster,
                 Duration time_to_settle)
      : store(key_value_store),
        timers(timer_service),
        prefix("/fireflyrun/" + cluster + "/keys/"),
        settle_time(time_to_settle),
        started_at(timer_service.Now()),
        lease(std::make_shared<BindingLease>(key_value_store, timer_service)),
        generation_subscription(this->store.Generation().OnChange(
            [this](const GenerationChange&) { this->OnGenerationChanged(); })) {}

  ~Implementation() { this->lease->DropHandlers(); }
  Implementation(const Implementation&) = delete;
  Implementation& operator=(const Implementation&) = delete;

  std::string StoreKey(std::string_view service, std::string_view key) const {
    std::string store_key = this->prefix;
    store_key += service;
    store_key += '/';
    store_key += EncodeKey(key);
    return store_key;
  }

  /// Runs the request now, or when the bindings that the store lost are restored.
  void Run(Request request) {
    const Duration to_wait = this->TimeToSettle();
    if (to_wait <= Duration::zero()) return this->Attempt(std::move(request));
    this->waiting.push_back(std::move(request));
    if (this->waiting.size() == 1) this->WaitToSettle(to_wait);
  }

 private:
  static constexpr std::size_t kParallelRestores = 8;
  static constexpr Duration kRestoreDelay = std::chrono::milliseconds(300);
  /// After the settle time there is no haste: nobody waits for what is restored then.
  static constexpr Duration kLateRestoreDelay = std::chrono::seconds(5);
  /// Questions for the store's generation while this node waits for the settle time: it makes no
  /// other calls then, and would learn of a further return later than the others.
  static constexpr int kQuestionsWhileSettling = 4;
  /// Of one request, each in another generation of the store.
  static constexpr int kMostAttempts = 8;

  /// A node that has just started doesn't know whether the store has just returned.
  Duration TimeToSettle() const {
    const bool has_generations = this->store.Generation().Number() != 0;
    const SteadyTime first = has_generations ? this->started_at + this->settle_time : SteadyTime();
    return std::max(first, this->settled_at) - this->timers.Now();
  }

  void WaitToSettle(Duration time) {
    this->settle_timer = this->timers.After(time, [this] { this->OnSettled(); });
  }

  void Attempt(Request request) {
    ++request.attempts;
    request.generation = this->store.Generation().Number();
    const bool binds = request.from_ticket.empty();
    if (binds) this->ProposeLost(request);
    const std::string store_key = request.store_key;
    const std::string from = request.from_ticket;
    const std::string to = request.to_ticket;
    const bool is_first = request.attempts == 1;
    const auto operation =
        this->MakeOperation(store_key, [this, request = std::move(request)](auto result) mutable {
          this->OnAttempted(std::move(request), std::move(result));
        });
    if (!binds) return operation->Replace(from, to);
    if (is_first) return operation->Create(to);
    operation->CreateAgain(to);
  }

  /// The store may have lost the binding while this node couldn't restore it.
  void ProposeLost(Request& request) {
    const auto known = this->recent.Find(request.store_key, this->timers.Now());
    if (known && known->generation != request.generation) request.to_ticket = known->ticket;
  }

  void Remember(const std::string& store_key, const std::string& ticket) {
    this->recent.Add({store_key, ticket, this->timers.Now(), this->store.Generation().Number()});
  }

  void OnAttempted(Request request, tl::expected<std::string, StoreError> result) {
    if (request.generation != this->store.Generation().Number()) {
      this->OnGenerationChangedMeanwhile(std::move(request));
      return;
    }
    if (result) this->Remember(request.store_key, *result);
    const bool may_have_written = request.attempts > 1;
    if (!result && may_have_written) result.error().kind = StoreErrorKind::kUnknown;
    request.handler(std::move(result));
  }

  /// Nothing has been told of the ticket yet, so the request is as good as new.
  void OnGenerationChangedMeanwhile(Request request) {
    this->WriteAgain({request.store_key, request.to_ticket, this->timers.Now()});
    if (request.attempts < kMostAttempts) return this->Run(std::move(request));
    request.handler(tl::unexpected(
        StoreError{StoreErrorKind::kUnknown, "the store's generation changed at every attempt"}));
  }

  /// The ticket may have been written in a generation under a lease of the one before, which may be
  /// another node's now: if the key is bound to it, it is written again, under a lease of this
  /// node.
  void WriteAgain(const RecentBindings::Binding& binding) {
    const std::uint64_t generation = this->store.Generation().Number();
    const auto on_end = [this, binding, generation](const auto& result) {
      if (generation != this->store.Generation().Number()) return this->WriteAgain(binding);
      const bool is_done = result || result.error().kind == StoreErrorKind::kRejected;
      if (!is_done) this->WriteAgainLater(binding);
    };
    this->MakeOperation(binding.store_key, on_end)->Replace(binding.ticket, binding.ticket);
  }

  void WriteAgainLater(const RecentBindings::Binding& binding) {
    if (this->IsOld(binding)) return;
    this->not_written.push_back(binding);
    if (this->not_written.size() > 1) return;
    this->write_timer = this->timers.After(this->DelayOfNextTry(), [this] {
      for (const auto& again : std::exchange(this->not_written, {})) this->WriteAgain(again);
    });
  }

  bool IsOld(const RecentBindings::Binding& binding) const {
    return this->timers.Now() - binding.seen_at > RecentBindings::kKeptTime;
  }

  Duration DelayOfNextTry() const {
    return this->timers.Now() < this->settled_at ? kRestoreDelay : kLateRestoreDelay;
  }

  /// The handler runs only while this object lives.
  std::shared_ptr<KeyBinding> MakeOperation(const std::string& store_key, Handler handler) {
    auto guarded = [weak = this->weak_from_this(), handler = std::move(handler)](
                       tl::expected<std::string, StoreError> result) mutable {
      if (const auto self = weak.lock()) handler(std::move(result));
    };
    return std::make_shared<KeyBinding>(this->store, this->timers, this->lease, store_key,
                                        std::move(guarded));
  }

  void OnGenerationChanged() {
    const SteadyTime now = this->timers.Now();
    this->settled_at = now + this->settle_time;
    this->WaitToSettle(this->settle_time);
    this->question_timer = this->timers.Every(this->settle_time / kQuestionsWhileSettling, [this] {
      this->AskForGeneration();
      this->RepeatSlowRestores();
    });
    this->under_way.clear();
    this->failed.clear();
    this->restore_timer.Reset();
    this->lost = this->recent.All(now);
    LogEvent(LogLevel::kInfo, "store", "bindings-restored").Add("bindings", this->lost.size());
    for (std::size_t i = 0; i < kParallelRestores; ++i) this->RestoreNext();
  }

  /// Any answer tells the generation.
  void AskForGeneration() {
    if (this->waiting.empty() && this->recent.All(this->timers.Now()).empty()) return;
    this->store.List(this->prefix + "none", [](const auto&) {});
  }

  void OnSettled() {
    this->question_timer.Reset();
    for (Request& request : std::exchange(this->waiting, {})) this->Run(std::move(request));
  }

  /// The newest first: a copy is some seconds old.
  void RestoreNext() {
    if (this->lost.empty()) return;
    const RecentBindings::Binding binding = std::move(this->lost.back());
    this->lost.pop_back();
    this->Restore(binding);
  }

  void Restore(const RecentBindings::Binding& binding) {
    this->under_way[binding.store_key] = binding;
    this->TryToRestore(binding);
  }

  /// Another ticket gives way: nobody was told of it before the settle time had passed.
  void TryToRestore(const RecentBindings::Binding& binding) {
    const std::uint64_t generation = this->store.Generation().Number();
    const auto on_end = [this, binding, generation](const auto& result) {
      if (generation != this->store.Generation().Number()) {
        // All bindings are restored anew in the generation that came meanwhile.
        this->WriteAgain(binding);
        return;
      }
      const bool is_first = this->under_way.erase(binding.store_key) > 0;
      if (!is_first) return;  // Another try has ended before.
      if (result) {
        this->OnRestored(binding);
      } else {
        this->RestoreLater(binding);
      }
    };
    this->MakeOperation(binding.store_key, on_end)->Restore(binding.ticket);
  }

  /// A call to the store may time out as late as the settle time.
  void RepeatSlowRestores() {
    const auto slow = this->under_way;
    for (const auto& [store_key, binding] : slow) this->TryToRestore(binding);
  }

  /// A further return may lose it again, so it is as good as new.
  void OnRestored(const RecentBindings::Binding& binding) {
    const auto known = this->recent.Find(binding.store_key, this->timers.Now());
    const bool is_current = known && known->ticket == binding.ticket;
    if (is_current) this->Remember(binding.store_key, binding.ticket);
    this->RestoreNext();
  }

  /// It keeps its place meanwhile, so that never more than kParallelRestores are under way.
  void RestoreLater(const RecentBindings::Binding& binding) {
    if (this->IsOld(binding)) return this->RestoreNext();
    this->failed.push_back(binding);
    if (this->failed.size() > 1) return;
    this->restore_timer = this->timers.After(this->DelayOfNextTry(), [this] {
      for (const auto& again : std::exchange(this->failed, {})) this->Restore(again);
    });
  }

  Store& store;
  Timers& timers;
  std::string prefix;
  Duration settle_time;
  SteadyTime started_at;
  std::shared_ptr<BindingLease> lease;
  RecentBindings recent;
  std::vector<RecentBindings::Binding> lost;                 ///< Not restored yet, oldest first.
  std::map<std::string, RecentBindings::Binding> under_way;  ///< By the store's key.
  std::vector<RecentBindings::Binding> failed;               ///< To be restored later.
  std::vector<RecentBindings::Binding> not_written;          ///< To be written again later.
  TimerSubscription write_timer;
  TimerSubscription restore_timer;
  SteadyTime settled_at;
  std::vector<Request> waiting;
  TimerSubscription settle_timer;
  TimerSubscription question_timer;
  StoreGeneration::Subscription generation_subscription;
};

KeyBinder::KeyBinder(Store& store, Timers& timers, std::string cluster, Duration settle_time)
    : implementation(std::make_shared<Implementation>(store, timers, cluster, settle_time)) {}

KeyBinder::~KeyBinder() = default;

void KeyBinder::Bind(std::string_view service, std::string_view key, std::string proposed,
                     Handler handler) {
  this->implementation->Run(
      {this->implementation->StoreKey(service, key), "", std::move(proposed), std::move(handler)});
}

void KeyBinder::Replace(std::string_view service, std::string_view key, std::string from_ticket,
                        std::string to_ticket, Handler handler) {
  this->implementation->Run({this->implementation->StoreKey(service, key), std::move(from_ticket),
                             std::move(to_ticket), std::move(handler)});
}

}  // namespace fireflyrun::store
