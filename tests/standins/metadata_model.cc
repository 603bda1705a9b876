#include "tests/standins/metadata_model.h"

#include <utility>

#include "store/base64.h"

namespace fireflyrun::standins {
namespace {

constexpr std::size_t kMaxEntries = 32;
constexpr Duration kCopyPeriod = std::chrono::milliseconds(50);
constexpr Duration kCopiesKept = std::chrono::seconds(20);
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kBadRequest = 400;
constexpr int kConflict = 412;
constexpr int kGone = 410;

bool IsForeign(const std::string& key) {
  return key.starts_with("op/") || key.starts_with("servers/");
}

}  // namespace

MetadataModel::Json MetadataModel::Encode(const std::string& key, const Item& item) {
  return {{"key", key},
          {"value", store::EncodeBase64(item.value)},
          {"rev", item.revision},
          {"created", item.created},
          {"lease", item.lease}};
}

void MetadataModel::Write(const std::string& key, const std::string& value, std::int64_t lease) {
  Item& item = this->items[key];
  if (item.created == 0) item.created = this->revision;
  item.value = value;
  item.revision = this->revision;
  item.lease = lease;
  this->events.push_back(Encode(key, item));
}

void MetadataModel::Erase(const std::string& key) {
  if (this->items.erase(key) == 0) return;
  this->events.push_back({{"key", key}, {"rev", this->revision}, {"tombstone", true}});
}

MetadataAnswer MetadataModel::Range(const std::string& prefix, const std::string& after) const {
  const auto& shown = this->reads_frozen ? this->snapshot.items : this->items;
  Json list = Json::array();
  bool has_more = false;
  for (auto item = shown.lower_bound(prefix); item != shown.end(); ++item) {
    if (!item->first.starts_with(prefix)) break;
    if (item->first <= after) continue;
    has_more = list.size() == this->page_items;
    if (has_more) break;
    list.push_back(Encode(item->first, item->second));
  }
  const std::int64_t as_of = this->reads_frozen ? this->snapshot.revision : this->revision;
  return {200, {{"items", std::move(list)}, {"hasMore", has_more}, {"asOf", as_of}}};
}

MetadataAnswer MetadataModel::Changes(const std::string& prefix, std::int64_t after) const {
  const bool unknown = after < this->dropped_revision || after > this->revision;
  if (unknown) return {kGone, {{"error", "history is gone"}}};
  Json list = Json::array();
  for (const Json& event : this->events) {
    const bool is_wanted = event["key"].get_ref<const std::string&>().starts_with(prefix);
    if (is_wanted && event["rev"] > after) list.push_back(event);
  }
  return {200, {{"events", std::move(list)}, {"asOf", this->revision}}};
}

MetadataAnswer MetadataModel::Transact(const Json& request) {
  const std::size_t entries =
      request["expected"].size() + request["writes"].size() + request["deletes"].size();
  if (entries > kMaxEntries) return {kBadRequest, {{"error", "too many entries"}}};
  bool holds = true;
  Json standing = Json::array();
  for (const Json& row : request["expected"]) {
    const auto found = this->items.find(row["key"].get<std::string>());
    const bool is_there = found != this->items.end();
    if (is_there) standing.push_back(Encode(found->first, found->second));
    holds = holds && row["rev"] == (is_there ? found->second.revision : 0);
  }
  if (!holds) return {kConflict, {{"items", std::move(standing)}}};
  for (const Json& write : request["writes"]) {
    const std::int64_t lease = write.value("lease", 0);
    if (lease != 0 && !this->leases.contains(lease)) return {kNotFound, {{"error", "no lease"}}};
    if (IsForeign(write["key"].get<std::string>())) return {kForbidden, {{"error", "not yours"}}};
  }
  ++this->revision;
  for (const Json& write : request["writes"]) {
    this->Write(write["key"], store::DecodeBase64(write["value"].get<std::string>()).value_or(""),
                write.value("lease", 0));
  }
  for (const Json& key : request["deletes"]) this->Erase(key);
  return {200, {{"rev", this->revision}}};
}

std::int64_t MetadataModel::Put(const std::string& key, const std::string& value) {
  ++this->revision;
  this->Write(key, value, 0);
  return this->revision;
}

void MetadataModel::Delete(const std::string& key) {
  ++this->revision;
  this->Erase(key);
}

MetadataAnswer MetadataModel::GrantLease(const Json& request, SteadyTime now) {
  const auto seconds = request["ttlS"].get<double>();
  const auto time_to_live =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
  this->leases[++this->last_lease] = {time_to_live, now + time_to_live};
  return {200, {{"lease", this->last_lease}, {"ttlS", seconds}}};
}

MetadataAnswer MetadataModel::RenewLease(std::int64_t lease, SteadyTime now) {
  const auto found = this->leases.find(lease);
  if (found == this->leases.end()) return {kNotFound, {{"error", "no lease"}}};
  found->second.expiry = now + found->second.time_to_live;
  return {200, {{"ttlS", std::chrono::duration<double>(found->second.time_to_live).count()}}};
}

MetadataAnswer MetadataModel::EndLease(std::int64_t lease) {
  if (this->leases.erase(lease) == 0) return {kNotFound, {{"error", "no lease"}}};
  std::vector<std::string> keys;
  for (const auto& [key, item] : this->items) {
    if (item.lease == lease) keys.push_back(key);
  }
  if (!keys.empty()) ++this->revision;
  for (const std::string& key : keys) this->Erase(key);
  return {};
}

void MetadataModel::ExpireLeases(SteadyTime now) {
  std::vector<std::int64_t> expired;
  for (const auto& [id, lease] : this->leases) {
    if (lease.expiry <= now) expired.push_back(id);
  }
  for (const std::int64_t id : expired) this->EndLease(id);
}

void MetadataModel::TakeCopy(SteadyTime now) {
  if (!this->copies.empty() && now - this->copies.back().taken < kCopyPeriod) return;
  this->copies.push_back({now, {this->items, this->revision}, this->leases, this->last_lease});
  if (now - this->copies.front().taken > kCopiesKept) this->copies.pop_front();
}

std::map<std::string, std::string> MetadataModel::GoBack(Duration age, SteadyTime now) {
  if (this->copies.empty()) this->TakeCopy(now);
  std::map<std::string, std::string> foreign;
  for (const auto& [key, item] : this->items) {
    if (IsForeign(key)) foreign[key] = item.value;
  }
  while (this->copies.size() > 1 && now - this->copies.back().taken < age) this->copies.pop_back();
  const Copy& copy = this->copies.back();
  this->items = copy.content.items;
  this->revision = copy.content.revision;
  this->leases = copy.leases;
  this->last_lease = copy.last_lease;
  std::erase_if(this->events, [this](const Json& event) { return event["rev"] > this->revision; });
  ++this->era;
  return foreign;
}

void MetadataModel::AdvanceTo(std::int64_t wanted_revision) {
  while (this->revision < wanted_revision) this->Put("servers/other", "x");
}

void MetadataModel::FreezeReads(bool frozen) {
  this->reads_frozen = frozen;
  this->snapshot = {this->items, this->revision};
}

}  // namespace fireflyrun::standins
