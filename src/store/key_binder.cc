#include "store/key_binder.h"

#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "common/log_event.h"
#include "common/timer_subscription.h"
#include "common/timers.h"
#include "store/binding_lease.h"
#include "store/key_binding.h"
#include "store/recent_bindings.h"
#include "store/store.h"
#include "store/withdrawn_tickets.h"

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

class KeyBinder::Implementation : public std::enable_shared_from_this<Implementation> {
 public:
  Implementation(Store& key_value_store, Timers& timer_service, const std::string& cluster,
                 Duration time_to_settle)
      : store(key_value_store),
        timers(timer_service),
        prefix("/fireflyrun/" + cluster + "/keys/"),
        settle_time(time_to_settle),
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

  /// An operation for a caller: what it finds bound is remembered.
  std::shared_ptr<KeyBinding> MakeBinding(const std::string& store_key, Handler handler) {
    return this->MakeOperation(store_key,
                               [this, store_key, handler = std::move(handler)](auto result) {
                                 if (result) this->Remember(store_key, *result);
                                 handler(std::move(result));
                               });
  }

  /// What to do if a later generation of the store may have taken `ticket`.
  std::function<void()> Withdrawal(const std::string& store_key, const std::string& ticket) {
    return [weak = this->weak_from_this(), store_key, ticket] {
      const auto self = weak.lock();
      if (!self) return;
      self->withdrawn.Add(store_key, ticket, self->timers.Now());
      self->Withdraw(store_key, ticket, [] {});
    };
  }

  /// Runs `operation` now, or when the bindings that the store lost are restored.
  void RunWhenSettled(std::function<void()> operation) {
    if (this->timers.Now() >= this->settled_at) return operation();
    this->waiting.push_back(std::move(operation));
  }

 private:
  static constexpr std::size_t kParallelRestores = 8;
  static constexpr Duration kRestoreDelay = std::chrono::milliseconds(300);
  /// Questions for the store's generation while this node waits for the settle time: it makes no
  /// other calls then, and would learn of a further return later than the others.
  static constexpr int kQuestionsWhileSettling = 4;

  void Remember(const std::string& store_key, const std::string& ticket) {
    this->recent.Add(store_key, ticket, this->timers.Now());
    this->withdrawn.Forget(store_key, ticket);
  }

  /// The key is unbound again, if it is bound to the ticket.
  void Withdraw(const std::string& store_key, const std::string& ticket,
                std::function<void()> on_end) {
    this->MakeOperation(store_key, [on_end = std::move(on_end)](const auto&) { on_end(); })
        ->Replace(ticket, "");
  }

  /// The handler runs only while this object lives.
  std::shared_ptr<KeyBinding> MakeOperation(const std::string& store_key, Handler handler) {
    auto guarded = [weak = this->weak_from_this(),
                    handler = std::move(handler)](tl::expected<std::string, StoreError> result) {
      if (const auto self = weak.lock()) handler(std::move(result));
    };
    return std::make_shared<KeyBinding>(this->store, this->timers, this->lease, store_key,
                                        std::move(guarded));
  }

  void OnGenerationChanged() {
    const SteadyTime now = this->timers.Now();
    this->settled_at = now + this->settle_time;
    this->settle_timer = this->timers.After(this->settle_time, [this] { this->OnSettled(); });
    this->question_timer = this->timers.Every(this->settle_time / kQuestionsWhileSettling,
                                              [this] { this->AskForGeneration(); });
    this->contested.clear();
    this->restore_timer.Reset();
    this->foreign = this->withdrawn.All(now);
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
    for (const auto& operation : std::exchange(this->waiting, {})) operation();
  }

  /// What a copy may hold and nobody may use goes first. Then the newest: a copy is some seconds
  /// old.
  void RestoreNext() {
    if (!this->foreign.empty()) return this->WithdrawNext();
    if (this->lost.empty()) return;
    const RecentBindings::Binding binding = std::move(this->lost.back());
    this->lost.pop_back();
    this->Restore(binding);
  }

  void WithdrawNext() {
    const RecentBindings::Binding ticket = std::move(this->foreign.back());
    this->foreign.pop_back();
    const std::uint64_t generation = this->store.Generation().Number();
    this->Withdraw(ticket.store_key, ticket.ticket, [this, generation] {
      if (generation == this->store.Generation().Number()) this->RestoreNext();
    });
  }

  /// Another ticket is there for a moment if a node that didn't know of the return wrote it.
  void Restore(const RecentBindings::Binding& binding) {
    const std::uint64_t generation = this->store.Generation().Number();
    const auto on_end = [this, binding,
                         generation](const tl::expected<std::string, StoreError>& result) {
      // All bindings are restored anew in the generation that came meanwhile.
      if (generation != this->store.Generation().Number()) return;
      const bool restored = result && *result == binding.ticket;
      const bool time_left = this->timers.Now() + kRestoreDelay < this->settled_at;
      if (restored || !time_left) return this->RestoreNext();
      this->RestoreLater(binding);
    };
    this->MakeOperation(binding.store_key, on_end)->Restore(binding.ticket);
  }

  /// It keeps its place meanwhile, so that never more than kParallelRestores are under way.
  void RestoreLater(const RecentBindings::Binding& binding) {
    this->contested.push_back(binding);
    if (this->contested.size() > 1) return;
    this->restore_timer = this->timers.After(kRestoreDelay, [this] {
      for (const auto& again : std::exchange(this->contested, {})) this->Restore(again);
    });
  }

  Store& store;
  Timers& timers;
  std::string prefix;
  Duration settle_time;
  std::shared_ptr<BindingLease> lease;
  RecentBindings recent;
  WithdrawnTickets withdrawn;
  std::vector<RecentBindings::Binding> foreign;    ///< Not withdrawn again yet.
  std::vector<RecentBindings::Binding> lost;       ///< Not restored yet, oldest first.
  std::vector<RecentBindings::Binding> contested;  ///< To be tried again.
  TimerSubscription restore_timer;
  SteadyTime settled_at;
  std::vector<std::function<void()>> waiting;
  TimerSubscription settle_timer;
  TimerSubscription question_timer;
  StoreGeneration::Subscription generation_subscription;
};

KeyBinder::KeyBinder(Store& store, Timers& timers, std::string cluster, Duration settle_time)
    : implementation(std::make_shared<Implementation>(store, timers, cluster, settle_time)) {}

KeyBinder::~KeyBinder() = default;

void KeyBinder::Bind(std::string_view service, std::string_view key, std::string proposed,
                     Handler handler) {
  Implementation& own = *this->implementation;
  const auto operation = own.MakeBinding(own.StoreKey(service, key), std::move(handler));
  auto withdrawal = own.Withdrawal(own.StoreKey(service, key), proposed);
  own.RunWhenSettled([operation, ticket = std::move(proposed), on_foreign = std::move(withdrawal)] {
    operation->Create(ticket, on_foreign);
  });
}

void KeyBinder::Replace(std::string_view service, std::string_view key, std::string from_ticket,
                        std::string to_ticket, Handler handler) {
  Implementation& own = *this->implementation;
  const auto operation = own.MakeBinding(own.StoreKey(service, key), std::move(handler));
  own.RunWhenSettled([operation, from = std::move(from_ticket), to = std::move(to_ticket)] {
    operation->Replace(from, to);
  });
}

}  // namespace fireflyrun::store
