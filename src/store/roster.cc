#include "store/roster.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "common/log_event.h"
#include "common/random.h"
#include "common/timer_service.h"
#include "common/timer_subscription.h"
#include "store/store.h"
#include "store/store_backoff.h"

namespace fireflyrun::store {
namespace {

using Json = nlohmann::json;

/// Maximum delay between attempts while all slots are taken; each delay is random, at least half of
/// this.
constexpr Duration kAttemptPeriod = std::chrono::minutes(5);

/// Nodes that lost their slots together take them again within this time.
constexpr Duration kReturnSpread = std::chrono::milliseconds(300);
/// Nodes that held none look for one after them. They are nearly all of a large fleet, and without
/// haste.
constexpr Duration kOthersReturnDelay = std::chrono::seconds(1);
constexpr Duration kOthersReturnSpread = std::chrono::seconds(10);

std::string RosterPrefix(const std::string& cluster) {
  return "/fireflyrun/" + cluster + "/roster/";
}

std::string EncodeEntry(const RosterEntry& entry) {
  const Json value = {{"node", entry.node},
                      {"control_address", entry.control_address},
                      {"admin_address", entry.admin_address}};
  return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<std::string> ReadText(const Json& object, const char* field) {
  const auto found = object.find(field);
  if (found == object.end() || !found->is_string()) return std::nullopt;
  return found->get<std::string>();
}

/// `slot_key` is `ZONE/SLOT`.
std::optional<RosterEntry> DecodeEntry(const std::string& slot_key, const std::string& value) {
  const Json parsed = Json::parse(value, nullptr, false);
  const std::size_t slash = slot_key.rfind('/');
  if (!parsed.is_object() || slash == std::string::npos) return std::nullopt;
  auto node = ReadText(parsed, "node");
  auto control = ReadText(parsed, "control_address");
  auto admin = ReadText(parsed, "admin_address");
  if (!node || !control || !admin) return std::nullopt;
  return RosterEntry{slot_key.substr(0, slash), std::move(*node), std::move(*control),
                     std::move(*admin)};
}

}  // namespace

void ReadRoster(Store& store, const std::string& cluster,
                std::function<void(tl::expected<std::vector<RosterEntry>, StoreError>)> handler) {
  const std::string prefix = RosterPrefix(cluster);
  store.List(prefix,
             [prefix, handler = std::move(handler)](tl::expected<Listing, StoreError> listing) {
               if (!listing) {
                 handler(tl::unexpected(std::move(listing.error())));
                 return;
               }
               std::vector<RosterEntry> entries;
               for (const KeyValue& key_value : listing->entries) {
                 auto entry = DecodeEntry(key_value.key.substr(prefix.size()), key_value.value);
                 if (entry) entries.push_back(std::move(*entry));
               }
               handler(std::move(entries));
             });
}

class Roster::Implementation : public std::enable_shared_from_this<Roster::Implementation> {
 public:
  Implementation(Store& key_value_store, TimerService& timer_service, const std::string& cluster,
                 RosterEntry self_entry, RosterTimes roster_times)
      : store(key_value_store),
        timers(timer_service),
        prefix(RosterPrefix(cluster) + self_entry.zone + "/"),
        self(std::move(self_entry)),
        times(roster_times) {}

  void Start() {
    this->generation_subscription = this->store.Generation().OnChange(
        [this](const GenerationChange&) { this->OnGenerationChanged(); });
    this->Attempt();
  }

  void Attempt() {
    this->store.List(this->prefix, this->IgnoreWhenStopped<Listing>([this](auto listing) {
      this->OnSlotsRead(std::move(listing));
    }));
  }

  void Leave(std::function<void()> done) {
    this->stopped = true;
    this->timer.Reset();
    this->holds_slot = false;
    // A renewal tells whether the lease is still this node's: an id may have been given out again.
    this->store.KeepLeaseAlive(this->lease, [self = this->shared_from_this(),
                                             done = std::move(done)](const auto& renewed) {
      if (!renewed) return done();
      self->store.RevokeLease(self->lease, [done](auto) { done(); });
    });
  }

  bool HoldsSlot() const { return this->holds_slot; }

 private:
  /// Ignores answers that arrive after Leave() or destruction, or when the slot is sought anew.
  template <typename Value>
  Store::Handler<Value> IgnoreWhenStopped(Store::Handler<Value> handler) {
    return [weak = this->weak_from_this(), search = this->search,
            handler = std::move(handler)](tl::expected<Value, StoreError> result) {
      const auto keep_alive = weak.lock();
      if (!keep_alive || keep_alive->stopped || keep_alive->search != search) return;
      handler(std::move(result));
    };
  }

  /// The lease's id and the slot's revision mean nothing now, or another node's lease. Also a node
  /// that waits as all slots were taken looks again: their entries may be gone.
  void OnGenerationChanged() {
    if (this->stopped) return;
    if (this->holds_slot) this->LogLost("generation-changed");
    const Duration delay = this->holds_slot ? Duration::zero() : kOthersReturnDelay;
    const Duration longest = this->holds_slot ? kReturnSpread : kOthersReturnSpread;
    this->holds_slot = false;
    this->lease = 0;
    ++this->search;
    this->backoff.Reset();
    const auto spread = static_cast<std::uint64_t>(longest.count());
    this->timer =
        this->timers.After(delay + Duration(RandomBelow(spread)), [this] { this->Attempt(); });
  }

  void LogLost(std::string_view cause) const {
    LogEvent(LogLevel::kInfo, "roster", "slot-lost")
        .Add("slot", this->slot.key)
        .Add("cause", cause);
  }

  void OnSlotsRead(tl::expected<Listing, StoreError> listing) {
    if (!listing) {
      this->AttemptSoon();
      return;
    }
    if (!this->ChooseSlot(*listing)) {
      this->AttemptLater();
      return;
    }
    this->store.GrantLease(this->times.lease_time_to_live,
                           this->IgnoreWhenStopped<LeaseId>(
                               [this](auto granted) { this->OnLeaseGranted(std::move(granted)); }));
  }

  /// Prefers the slot still held by an earlier incarnation of this node, then the one that it held
  /// before it lost it, then a random free one.
  bool ChooseSlot(const Listing& listing) {
    std::map<std::string, Revision> taken;
    for (const KeyValue& key_value : listing.entries) {
      const auto entry = DecodeEntry(this->self.zone + "/0", key_value.value);
      taken[key_value.key] = key_value.revision;
      if (!entry || entry->node != this->self.node) continue;
      this->slot = {key_value.key, key_value.revision};
      return true;
    }
    std::vector<std::string> free_slots;
    for (int number = 0; number < kRosterSlotsPerZone; ++number) {
      const std::string key = this->prefix + std::to_string(number);
      if (!taken.contains(key)) free_slots.push_back(key);
    }
    if (free_slots.empty()) return false;
    if (std::ranges::find(free_slots, this->held_key) != free_slots.end()) {
      this->slot = {this->held_key, 0};
      return true;
    }
    this->slot = {free_slots[RandomBelow(free_slots.size())], 0};
    return true;
  }

  void OnLeaseGranted(tl::expected<LeaseId, StoreError> granted) {
    if (!granted) {
      this->AttemptSoon();
      return;
    }
    this->lease = *granted;
    Transaction transaction;
    transaction.conditions.push_back(this->slot);
    transaction.writes.push_back({this->slot.key, EncodeEntry(this->self), this->lease});
    this->store.Commit(std::move(transaction),
                       this->IgnoreWhenStopped<TransactionResult>(
                           [this](auto result) { this->OnSlotWritten(std::move(result)); }));
  }

  void OnSlotWritten(tl::expected<TransactionResult, StoreError> result) {
    if (!result || !result->committed) {
      // If the write took effect after all, the next attempt finds it.
      this->lease = 0;
      if (result && this->IsHeldByAnother(*result)) {
        this->AttemptLater();
      } else {
        this->AttemptSoon();
      }
      return;
    }
    this->holds_slot = true;
    this->held_key = this->slot.key;
    LogEvent(LogLevel::kInfo, "roster", "slot-held").Add("slot", this->slot.key);
    this->last_renewal = SteadyClock::now();
    this->backoff.Reset();
    // Nodes that took their slots together renew them at different times.
    const auto period = static_cast<std::uint64_t>(this->times.renewal_period.count());
    this->RenewAfter(Duration(RandomBelow(period)));
  }

  /// True if another node of the zone, which can be contacted, took the slot meanwhile. It may also
  /// have become free, as its earlier holder's lease ended.
  bool IsHeldByAnother(const TransactionResult& conflict) const {
    return std::ranges::any_of(conflict.current_values, [this](const KeyValue& current) {
      const auto entry = DecodeEntry(this->self.zone + "/0", current.value);
      return !current.deleted && entry && entry->node != this->self.node;
    });
  }

  void RenewAfter(Duration delay) {
    this->timer = this->timers.After(delay, [this] { this->KeepAlive(); });
  }

  void KeepAlive() {
    const SteadyTime requested_at = SteadyClock::now();
    this->store.KeepLeaseAlive(this->lease, this->IgnoreWhenStopped<std::chrono::seconds>(
                                                [this, requested_at](const auto& result) {
                                                  this->OnKeptAlive(requested_at, result);
                                                }));
  }

  /// Only the store knows whether the lease has ended: while it is down, leases may be suspended.
  void OnKeptAlive(SteadyTime requested_at,
                   const tl::expected<std::chrono::seconds, StoreError>& result) {
    if (result) {
      this->last_renewal = requested_at;
      this->backoff.Reset();
      this->RenewAfter(this->times.renewal_period);
      return;
    }
    if (result.error().kind != StoreErrorKind::kRejected) {
      // There is no haste as long as the lease surely lives.
      const bool lives = SteadyClock::now() - this->last_renewal < this->times.lease_time_to_live;
      this->RenewAfter(lives ? this->times.renewal_period / 2 : this->backoff.Next());
      return;
    }
    this->LogLost("lease-ended");
    this->holds_slot = false;
    this->lease = 0;
    this->Attempt();
  }

  void AttemptSoon() {
    this->timer = this->timers.After(this->backoff.Next(), [this] { this->Attempt(); });
  }

  void AttemptLater() {
    this->backoff.Reset();
    const auto half = static_cast<std::uint64_t>(kAttemptPeriod.count() / 2);
    const Duration delay = kAttemptPeriod / 2 + Duration(RandomBelow(half));
    this->timer = this->timers.After(delay, [this] { this->Attempt(); });
  }

  Store& store;
  TimerService& timers;
  std::string prefix;
  RosterEntry self;
  RosterTimes times;
  Condition slot;
  std::string held_key;  ///< Of the slot that was held last.
  LeaseId lease = 0;
  bool holds_slot = false;
  bool stopped = false;
  SteadyTime last_renewal;
  std::uint64_t search = 0;  ///< Counts how often the slot was sought anew.
  StoreBackoff backoff;
  TimerSubscription timer;
  StoreGeneration::Subscription generation_subscription;
};

Roster::Roster(Store& store, TimerService& timers, std::string cluster, RosterEntry self,
               RosterTimes times)
    : implementation(
          std::make_shared<Implementation>(store, timers, cluster, std::move(self), times)) {}

Roster::~Roster() = default;

void Roster::Start() { this->implementation->Start(); }

void Roster::Leave(std::function<void()> done) { this->implementation->Leave(std::move(done)); }

bool Roster::HoldsSlot() const { return this->implementation->HoldsSlot(); }

}  // namespace fireflyrun::store
