#include "store/roster.h"

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "common/clock.h"
#include "common/random.h"
#include "common/timer_service.h"
#include "common/timer_subscription.h"
#include "store/store.h"

namespace fireflyrun::store {
namespace {

using Json = nlohmann::json;

constexpr std::chrono::seconds kLeaseTime{30};
constexpr Duration kKeepAlivePeriod = std::chrono::seconds(10);
/// Between attempts of a node that found all slots taken or did not reach the store.
constexpr Duration kAttemptPeriod = std::chrono::minutes(5);

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

/// `place` is `ZONE/SLOT`.
std::optional<RosterEntry> DecodeEntry(const std::string& place, const std::string& value) {
  const Json parsed = Json::parse(value, nullptr, false);
  const std::size_t slash = place.rfind('/');
  if (!parsed.is_object() || slash == std::string::npos) return std::nullopt;
  auto node = ReadText(parsed, "node");
  auto control = ReadText(parsed, "control_address");
  auto admin = ReadText(parsed, "admin_address");
  if (!node || !control || !admin) return std::nullopt;
  return RosterEntry{place.substr(0, slash), std::move(*node), std::move(*control),
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
                 RosterEntry self_entry)
      : store(key_value_store),
        timers(timer_service),
        prefix(RosterPrefix(cluster) + self_entry.zone + "/"),
        self(std::move(self_entry)) {}

  void Attempt() {
    this->store.List(this->prefix, this->Guard<Listing>([this](auto listing) {
      this->OnSlotsRead(std::move(listing));
    }));
  }

  void Leave(std::function<void()> done) {
    this->stopped = true;
    this->timer.Reset();
    this->holds_slot = false;
    // A lease of 0 cannot be revoked; the store answers so, which ends the leaving as well.
    this->store.RevokeLease(this->lease, [done = std::move(done)](auto) { done(); });
  }

  bool HoldsSlot() const { return this->holds_slot; }

 private:
  /// Drops an answer that comes after the end.
  template <typename Value>
  Store::Handler<Value> Guard(Store::Handler<Value> handler) {
    return [weak = this->weak_from_this(),
            handler = std::move(handler)](tl::expected<Value, StoreError> result) {
      const auto keep_alive = weak.lock();
      if (keep_alive && !keep_alive->stopped) handler(std::move(result));
    };
  }

  void OnSlotsRead(tl::expected<Listing, StoreError> listing) {
    if (!listing) {
      this->AttemptLater();
      return;
    }
    if (!this->ChooseSlot(*listing)) {
      this->AttemptLater();
      return;
    }
    this->store.GrantLease(kLeaseTime, this->Guard<LeaseId>([this](auto granted) {
      this->OnLeaseGranted(std::move(granted));
    }));
  }

  /// Prefers the slot that an earlier run of this node still holds, then a free one at random.
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
    this->slot = {free_slots[RandomBelow(free_slots.size())], 0};
    return true;
  }

  void OnLeaseGranted(tl::expected<LeaseId, StoreError> granted) {
    if (!granted) {
      this->AttemptLater();
      return;
    }
    this->lease = *granted;
    Transaction transaction;
    transaction.conditions.push_back(this->slot);
    transaction.writes.push_back({this->slot.key, EncodeEntry(this->self), this->lease});
    this->store.Commit(std::move(transaction), this->Guard<TransactionResult>([this](auto result) {
      this->OnSlotWritten(std::move(result));
    }));
  }

  void OnSlotWritten(tl::expected<TransactionResult, StoreError> result) {
    if (!result || !result->committed) {
      // Should the write have taken effect, its lease lapses soon.
      this->lease = 0;
      this->AttemptLater();
      return;
    }
    this->holds_slot = true;
    this->last_renewal = SteadyClock::now();
    this->timer = this->timers.Every(kKeepAlivePeriod, [this] { this->KeepAlive(); });
  }

  void KeepAlive() {
    const SteadyTime asked = SteadyClock::now();
    this->store.KeepLeaseAlive(
        this->lease, this->Guard<std::chrono::seconds>(
                         [this, asked](auto result) { this->OnKeptAlive(asked, result); }));
  }

  void OnKeptAlive(SteadyTime asked, const tl::expected<std::chrono::seconds, StoreError>& result) {
    if (!this->holds_slot) return;
    if (result) {
      this->last_renewal = asked;
      return;
    }
    const bool lapsed = result.error().kind == StoreErrorKind::kRejected ||
                        SteadyClock::now() - this->last_renewal > kLeaseTime;
    if (!lapsed) return;
    this->holds_slot = false;
    this->lease = 0;
    this->AttemptLater();
  }

  void AttemptLater() {
    const auto half = static_cast<std::uint64_t>(kAttemptPeriod.count() / 2);
    const Duration delay = kAttemptPeriod / 2 + Duration(RandomBelow(half));
    this->timer = this->timers.After(delay, [this] { this->Attempt(); });
  }

  Store& store;
  TimerService& timers;
  std::string prefix;
  RosterEntry self;
  Condition slot;
  LeaseId lease = 0;
  bool holds_slot = false;
  bool stopped = false;
  SteadyTime last_renewal;
  TimerSubscription timer;
};

Roster::Roster(Store& store, TimerService& timers, std::string cluster, RosterEntry self)
    : implementation(std::make_shared<Implementation>(store, timers, cluster, std::move(self))) {}

Roster::~Roster() = default;

void Roster::Start() { this->implementation->Attempt(); }

void Roster::Leave(std::function<void()> done) { this->implementation->Leave(std::move(done)); }

bool Roster::HoldsSlot() const { return this->implementation->HoldsSlot(); }

}  // namespace fireflyrun::store
