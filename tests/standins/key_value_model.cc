#include "tests/standins/key_value_model.h"

#include <set>
#include <utility>

#include "store/base64.h"

namespace fireflyrun::standins {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxOperations = 128;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;

std::string Bytes(const Json& object, const char* field) {
  if (!object.is_object() || !object.contains(field) || !object[field].is_string()) return "";
  return store::DecodeBase64(object[field].get<std::string>()).value_or("");
}

std::int64_t Integer(const Json& object, const char* field) {
  if (!object.is_object() || !object.contains(field)) return 0;
  const Json& value = object[field];
  if (value.is_number_integer()) return value.get<std::int64_t>();
  return value.is_string() ? std::strtoll(value.get_ref<const std::string&>().c_str(), nullptr, 10)
                           : 0;
}

const Json& Part(const Json& object, const char* field) {
  static const Json none;
  return object.is_object() && object.contains(field) ? object[field] : none;
}

ModelAnswer Refusal(int status, const std::string& message) {
  return {status, {{"error", message}, {"message", message}, {"code", status}}};
}

}  // namespace

Json KeyValueModel::Header() const {
  return {{"cluster_id", "1"}, {"member_id", "1"}, {"revision", std::to_string(this->revision)}};
}

Json KeyValueModel::EncodeItem(const std::string& key, const Item& item) {
  return {{"key", store::EncodeBase64(key)},
          {"value", store::EncodeBase64(item.value)},
          {"create_revision", std::to_string(item.create_revision)},
          {"mod_revision", std::to_string(item.mod_revision)},
          {"version", std::to_string(item.version)},
          {"lease", std::to_string(item.lease)}};
}

bool KeyValueModel::InRange(const std::string& key, const std::string& first,
                            const std::string& end) {
  if (end.empty()) return key == first;
  const bool is_open = end.size() == 1 && end[0] == '\0';
  return key >= first && (is_open || key < end);
}

ModelAnswer KeyValueModel::Range(const Json& request) const {
  const std::string first = Bytes(request, "key");
  const std::string end = Bytes(request, "range_end");
  Json values = Json::array();
  for (auto item = this->items.lower_bound(first); item != this->items.end(); ++item) {
    if (!InRange(item->first, first, end)) break;
    values.push_back(EncodeItem(item->first, item->second));
  }
  Json answer = {{"header", this->Header()}};
  if (values.empty()) return {200, answer};
  answer["count"] = std::to_string(values.size());
  answer["kvs"] = std::move(values);
  return {200, answer};
}

bool KeyValueModel::Holds(const Json& compare) const {
  const auto found = this->items.find(Bytes(compare, "key"));
  const std::int64_t standing = found == this->items.end() ? 0 : found->second.mod_revision;
  return standing == Integer(compare, "mod_revision");
}

ModelAnswer KeyValueModel::CheckPuts(const Json& operations) const {
  std::set<std::string> keys;
  for (const Json& operation : operations) {
    const Json& put = Part(operation, "request_put");
    if (put.is_null()) continue;
    const std::int64_t lease = Integer(put, "lease");
    if (lease != 0 && !this->leases.contains(lease)) {
      return Refusal(kNotFound, "etcdserver: requested lease not found");
    }
    if (!keys.insert(Bytes(put, "key")).second) {
      return Refusal(kBadRequest, "etcdserver: duplicate key given in txn request");
    }
  }
  return {};
}

Json KeyValueModel::Perform(const Json& operations) {
  Json responses = Json::array();
  Change change{this->revision + 1, {}};
  for (const Json& operation : operations) {
    const Json& put = Part(operation, "request_put");
    if (put.is_null()) {
      responses.push_back({{"response_range", this->Range(Part(operation, "request_range")).body}});
      continue;
    }
    const std::string key = Bytes(put, "key");
    Item& item = this->items[key];
    if (item.version == 0) item.create_revision = change.revision;
    item.value = Bytes(put, "value");
    item.mod_revision = change.revision;
    item.lease = Integer(put, "lease");
    ++item.version;
    change.events.push_back({key, item, false});
    responses.push_back({{"response_put", {{"header", {{"revision", change.revision}}}}}});
  }
  this->Record(std::move(change));
  return responses;
}

ModelAnswer KeyValueModel::Transact(const Json& request) {
  bool holds = true;
  for (const Json& compare : Part(request, "compare")) {
    if (compare.value("target", "") != "MOD" || compare.value("result", "") != "EQUAL") {
      return Refusal(kBadRequest, "the stand-in compares mod revisions for equality only");
    }
    holds = holds && this->Holds(compare);
  }
  const Json& operations = Part(request, holds ? "success" : "failure");
  if (Part(request, "compare").size() > kMaxOperations || operations.size() > kMaxOperations) {
    return Refusal(kBadRequest, "etcdserver: too many operations in txn request");
  }
  ModelAnswer checked = this->CheckPuts(operations);
  if (checked.status != 200) return checked;
  Json responses = this->Perform(operations);
  Json answer = {{"header", this->Header()}, {"responses", std::move(responses)}};
  if (holds) answer["succeeded"] = true;
  return {200, std::move(answer)};
}

ModelAnswer KeyValueModel::GrantLease(const Json& request, SteadyTime now) {
  const std::chrono::seconds time_to_live(Integer(request, "TTL"));
  const std::int64_t id = ++this->last_lease;
  this->leases[id] = {time_to_live, now + time_to_live};
  return {200,
          {{"header", this->Header()},
           {"ID", std::to_string(id)},
           {"TTL", std::to_string(time_to_live.count())}}};
}

ModelAnswer KeyValueModel::KeepLeaseAlive(const Json& request, SteadyTime now) {
  const std::int64_t id = Integer(request, "ID");
  Json result = {{"header", this->Header()}, {"ID", std::to_string(id)}};
  const auto found = this->leases.find(id);
  // The service leaves the time to live out for a lease that does not exist.
  if (found == this->leases.end()) return {200, {{"result", result}}};
  found->second.expiry = now + found->second.time_to_live;
  result["TTL"] = std::to_string(found->second.time_to_live.count());
  return {200, {{"result", result}}};
}

ModelAnswer KeyValueModel::RevokeLease(const Json& request) {
  const std::int64_t id = Integer(request, "ID");
  if (!this->leases.contains(id)) {
    return Refusal(kNotFound, "etcdserver: requested lease not found");
  }
  this->EndLease(id);
  return {200, {{"header", this->Header()}}};
}

void KeyValueModel::EndLease(std::int64_t id) {
  this->leases.erase(id);
  Change change{this->revision + 1, {}};
  for (auto item = this->items.begin(); item != this->items.end();) {
    if (item->second.lease != id) {
      ++item;
      continue;
    }
    Item deleted;
    deleted.mod_revision = change.revision;
    change.events.push_back({item->first, deleted, true});
    item = this->items.erase(item);
  }
  this->Record(std::move(change));
}

void KeyValueModel::ExpireLeases(SteadyTime now) {
  std::vector<std::int64_t> expired;
  for (const auto& [id, lease] : this->leases) {
    if (lease.expiry <= now) expired.push_back(id);
  }
  for (const std::int64_t id : expired) {
    this->EndLease(id);
  }
}

void KeyValueModel::Record(Change change) {
  if (change.events.empty()) return;
  this->revision = change.revision;
  this->history.push_back(std::move(change));
  while (this->history.size() > this->history_limit) {
    this->compact_revision = this->history.front().revision;
    this->history.pop_front();
  }
  std::vector<std::uint64_t> ids;
  for (const auto& [id, watch] : this->watches) ids.push_back(id);
  for (const std::uint64_t id : ids) {
    // A sink may close watches.
    const auto found = this->watches.find(id);
    if (found != this->watches.end()) this->Deliver(found->second);
  }
}

void KeyValueModel::Deliver(Watch& watch) {
  Json events = Json::array();
  for (const Change& change : this->history) {
    if (change.revision < watch.next_revision) continue;
    for (const Event& event : change.events) {
      if (!InRange(event.key, watch.first_key, watch.range_end)) continue;
      Json encoded = {{"kv", EncodeItem(event.key, event.item)}};
      if (event.deleted) encoded["type"] = "DELETE";
      events.push_back(std::move(encoded));
    }
  }
  watch.next_revision = this->revision + 1;
  if (events.empty()) return;
  const Sink sink = watch.sink;
  sink({{"result", {{"header", this->Header()}, {"events", std::move(events)}}}});
}

std::uint64_t KeyValueModel::OpenWatch(const Json& request, Sink sink) {
  const Json& create = Part(request, "create_request");
  const std::uint64_t id = ++this->last_watch;
  sink({{"result", {{"header", this->Header()}, {"created", true}}}});
  const std::int64_t start = Integer(create, "start_revision");
  if (start != 0 && start <= this->compact_revision) {
    sink({{"result",
           {{"header", this->Header()},
            {"canceled", true},
            {"compact_revision", std::to_string(this->compact_revision)},
            {"cancel_reason", "etcdserver: mvcc: required revision has been compacted"}}}});
    return id;
  }
  Watch& watch = this->watches[id];
  watch.first_key = Bytes(create, "key");
  watch.range_end = Bytes(create, "range_end");
  watch.next_revision = start == 0 ? this->revision + 1 : start;
  watch.sink = std::move(sink);
  this->Deliver(watch);
  return id;
}

void KeyValueModel::CloseWatch(std::uint64_t id) { this->watches.erase(id); }

void KeyValueModel::SendProgress() {
  const auto copy = this->watches;
  for (const auto& [id, watch] : copy) {
    if (!this->watches.contains(id)) continue;
    watch.sink({{"result", {{"header", this->Header()}}}});
  }
}

}  // namespace fireflyrun::standins
