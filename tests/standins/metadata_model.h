#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "common/clock.h"

namespace fireflyrun::standins {

struct MetadataAnswer {
  int status = 200;
  nlohmann::json body = nlohmann::json::object();
};

/// A small metadata store that takes and gives the messages of the platform's. Time is passed in.
class MetadataModel {
 public:
  using Json = nlohmann::json;

  explicit MetadataModel(std::size_t items_of_page) : page_items(items_of_page) {}

  MetadataAnswer Range(const std::string& prefix, const std::string& after) const;
  /// The events so far; none may be there yet.
  MetadataAnswer Changes(const std::string& prefix, std::int64_t after) const;
  MetadataAnswer Transact(const Json& request);
  MetadataAnswer GrantLease(const Json& request, SteadyTime now);
  MetadataAnswer RenewLease(std::int64_t lease, SteadyTime now);
  MetadataAnswer EndLease(std::int64_t lease);

  /// Writes as the operator does, under any key.
  std::int64_t Put(const std::string& key, const std::string& value);
  void Delete(const std::string& key);
  void ExpireLeases(SteadyTime now);
  /// Watches from before now get 410.
  void DropHistory() { this->dropped_revision = this->revision; }
  /// Readings show the store as it is now, until the next call with false.
  void FreezeReads(bool frozen);
  std::int64_t Revision() const { return this->revision; }

  /// Keeps a copy of the store, for GoBack(); a few times a second.
  void TakeCopy(SteadyTime now);
  /// The store comes back from a copy that was taken at least `age` ago, or from the oldest one.
  /// Data, leases, revisions and lease ids are those of the copy, and a new era begins. Gives what
  /// others than the system had written: they write it again, with Put().
  std::map<std::string, std::string> GoBack(Duration age, SteadyTime now);
  std::int64_t Era() const { return this->era; }
  /// Writes under keys that are of no interest until the revision is reached.
  void AdvanceTo(std::int64_t wanted_revision);

 private:
  struct Item {
    std::string value;
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::int64_t lease = 0;
  };
  struct Lease {
    Duration time_to_live{};
    SteadyTime expiry;
  };
  struct Snapshot {
    std::map<std::string, Item> items;
    std::int64_t revision = 0;
  };
  struct Copy {
    SteadyTime taken;
    Snapshot content;
    std::map<std::int64_t, Lease> leases;
    std::int64_t last_lease = 0;
  };

  static Json Encode(const std::string& key, const Item& item);
  void Write(const std::string& key, const std::string& value, std::int64_t lease);
  void Erase(const std::string& key);

  std::size_t page_items;
  std::int64_t revision = 100;
  std::int64_t dropped_revision = 0;
  std::int64_t last_lease = 7000;
  std::map<std::string, Item> items;
  std::vector<Json> events;
  std::map<std::int64_t, Lease> leases;
  Snapshot snapshot;
  bool reads_frozen = false;
  std::deque<Copy> copies;  ///< Oldest first.
  std::int64_t era = 1;
};

}  // namespace fireflyrun::standins
