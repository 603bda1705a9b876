#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "common/clock.h"

namespace fireflyrun::standins {

/// The answer to one request.
struct ModelAnswer {
  int status = 200;
  nlohmann::json body;
};

/// A small key-value service that takes and gives the messages of the etcd v3 JSON gateway. Time is
/// passed in.
class KeyValueModel {
 public:
  using Json = nlohmann::json;
  using Sink = std::function<void(const Json&)>;

  /// Changes older than the last `kept_revisions` revisions are compacted away.
  explicit KeyValueModel(std::size_t kept_revisions) : history_limit(kept_revisions) {}

  ModelAnswer Range(const Json& request) const;
  ModelAnswer Transact(const Json& request);
  ModelAnswer GrantLease(const Json& request, SteadyTime now);
  ModelAnswer KeepLeaseAlive(const Json& request, SteadyTime now);
  ModelAnswer RevokeLease(const Json& request);

  /// Sends the watch's messages to `sink`, the first ones at once.
  std::uint64_t OpenWatch(const Json& request, Sink sink);
  void CloseWatch(std::uint64_t id);
  std::size_t OpenWatches() const { return this->watches.size(); }

  /// Ends leases whose time is up, with their keys.
  void ExpireLeases(SteadyTime now);
  /// Sends every watch a progress notification.
  void SendProgress();

  std::int64_t Revision() const { return this->revision; }

 private:
  struct Item {
    std::string value;
    std::int64_t create_revision = 0;
    std::int64_t mod_revision = 0;
    std::int64_t version = 0;
    std::int64_t lease = 0;
  };

  struct Event {
    std::string key;
    Item item;
    bool deleted = false;
  };

  struct Change {
    std::int64_t revision = 0;
    std::vector<Event> events;
  };

  struct Lease {
    std::chrono::seconds time_to_live{0};
    SteadyTime expiry;
  };

  struct Watch {
    std::string first_key;
    std::string range_end;
    std::int64_t next_revision = 0;
    Sink sink;
  };

  Json Header() const;
  bool Holds(const Json& compare) const;
  ModelAnswer CheckPuts(const Json& operations) const;
  Json Perform(const Json& operations);
  void EndLease(std::int64_t id);
  void Record(Change change);
  void Deliver(Watch& watch);
  static Json EncodeItem(const std::string& key, const Item& item);
  static bool InRange(const std::string& key, const std::string& first, const std::string& end);

  std::size_t history_limit;
  std::int64_t revision = 1;
  std::int64_t compact_revision = 0;
  std::int64_t last_lease = 7'000;
  std::uint64_t last_watch = 0;
  std::map<std::string, Item> items;
  std::deque<Change> history;
  std::map<std::int64_t, Lease> leases;
  std::map<std::uint64_t, Watch> watches;
};

}  // namespace fireflyrun::standins
