#pragma once

#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "common/clock.h"
#include "common/id128.h"
#include "policy/priority_key.h"

namespace fireflyrun::policy {

/// A bounded queue of calls that wait for the target, ordered by priority key, then by arrival.
template <typename T>
class AdmissionQueue {
 public:
  struct Entry {
    Id128 id;
    PriorityKey key;
    SteadyTime deadline;
    Duration expected_service{};  ///< The call must start this long before its deadline.
    SteadyTime queued_at;         ///< Set by `Push`.
    T value;

    SteadyTime LatestStart() const { return this->deadline - this->expected_service; }
  };

  explicit AdmissionQueue(std::size_t max_entries) : capacity(max_entries) {}

  /// Adds an entry. If the queue is full, the entry with the lowest priority is removed and
  /// returned; it may be the new one. An entry whose id is queued already is returned.
  std::optional<Entry> Push(Entry entry, SteadyTime now) {
    if (this->positions.contains(entry.id)) return entry;
    entry.queued_at = now;
    const Position position{entry.key, this->next_sequence};
    this->next_sequence += 1;
    this->positions.emplace(entry.id, position);
    this->by_latest_start.emplace(entry.LatestStart(), position);
    this->entries.emplace(position, std::move(entry));
    if (this->entries.size() <= this->capacity) return std::nullopt;
    return this->Extract(std::prev(this->entries.end()));
  }

  /// Removes and returns the entry with the highest priority that can still meet its deadline.
  /// Entries that can't stay queued until `DropExpired`.
  std::optional<Entry> PopBest(SteadyTime now) {
    for (auto entry = this->entries.begin(); entry != this->entries.end(); ++entry) {
      if (now <= entry->second.LatestStart()) return this->Extract(entry);
    }
    return std::nullopt;
  }

  /// Removes all entries that can't meet their deadline any more.
  std::vector<Entry> DropExpired(SteadyTime now) {
    std::vector<Entry> expired;
    while (!this->by_latest_start.empty() && this->by_latest_start.begin()->first < now) {
      const Position position = this->by_latest_start.begin()->second;
      expired.push_back(this->Extract(this->entries.find(position)));
    }
    return expired;
  }

  /// Removes all entries with a lower priority than `level`; highest priority first.
  std::vector<Entry> DropBeyond(const PriorityKey& level) {
    std::vector<Entry> dropped;
    auto entry = this->entries.upper_bound(Position{level, UINT64_MAX});
    while (entry != this->entries.end()) {
      const auto next = std::next(entry);
      dropped.push_back(this->Extract(entry));
      entry = next;
    }
    return dropped;
  }

  /// Removes all entries, highest priority first.
  std::vector<Entry> TakeAll() {
    std::vector<Entry> taken;
    while (!this->entries.empty()) taken.push_back(this->Extract(this->entries.begin()));
    return taken;
  }

  /// Removes one entry, if it is queued.
  std::optional<Entry> Remove(const Id128& id) {
    const auto position = this->positions.find(id);
    if (position == this->positions.end()) return std::nullopt;
    return this->Extract(this->entries.find(position->second));
  }

  std::size_t Size() const { return this->entries.size(); }
  bool Empty() const { return this->entries.empty(); }
  std::size_t Capacity() const { return this->capacity; }

 private:
  using Position = std::pair<PriorityKey, std::uint64_t>;
  using Entries = std::map<Position, Entry>;

  Entry Extract(typename Entries::iterator iterator) {
    Entry entry = std::move(iterator->second);
    this->positions.erase(entry.id);
    this->by_latest_start.erase({entry.LatestStart(), iterator->first});
    this->entries.erase(iterator);
    return entry;
  }

  std::size_t capacity;
  std::uint64_t next_sequence = 0;
  Entries entries;
  std::unordered_map<Id128, Position> positions;
  std::set<std::pair<SteadyTime, Position>> by_latest_start;
};

}  // namespace fireflyrun::policy
