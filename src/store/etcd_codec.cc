#include "store/etcd_codec.h"

#include <charconv>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "store/base64.h"

namespace fireflyrun::store::etcd {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxErrorTextBytes = 200;

/// Returns null if the field is absent.
const Json* Field(const Json& object, const char* name) {
  if (!object.is_object()) return nullptr;
  const auto found = object.find(name);
  return found == object.end() ? nullptr : &*found;
}

/// The gateway encodes 64-bit integers as strings. An absent field reads as 0.
std::optional<std::int64_t> ReadInteger(const Json& object, const char* name) {
  const Json* field = Field(object, name);
  if (field == nullptr) return 0;
  if (field->is_number_integer()) return field->get<std::int64_t>();
  if (!field->is_string()) return std::nullopt;
  const auto& text = field->get_ref<const std::string&>();
  std::int64_t value = 0;
  const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
  if (result.ec != std::errc() || result.ptr != text.data() + text.size()) return std::nullopt;
  return value;
}

/// An absent field reads as empty bytes.
std::optional<std::string> ReadBytes(const Json& object, const char* name) {
  const Json* field = Field(object, name);
  if (field == nullptr) return std::string();
  if (!field->is_string()) return std::nullopt;
  return DecodeBase64(field->get_ref<const std::string&>());
}

bool ReadFlag(const Json& object, const char* name) {
  const Json* field = Field(object, name);
  return field != nullptr && field->is_boolean() && field->get<bool>();
}

std::optional<Revision> ReadStoreRevision(const Json& answer) {
  const Json* header = Field(answer, "header");
  if (header == nullptr) return std::nullopt;
  const auto revision = ReadInteger(*header, "revision");
  if (!revision || *revision <= 0) return std::nullopt;
  return revision;
}

std::optional<KeyValue> ReadKeyValue(const Json& value) {
  auto key = ReadBytes(value, "key");
  auto bytes = ReadBytes(value, "value");
  const auto revision = ReadInteger(value, "mod_revision");
  if (!key || key->empty() || !bytes || !revision) return std::nullopt;
  return KeyValue{std::move(*key), std::move(*bytes), *revision, false};
}

bool AppendKeyValues(const Json& answer, std::vector<KeyValue>& entries) {
  const Json* values = Field(answer, "kvs");
  if (values == nullptr) return true;
  if (!values->is_array()) return false;
  for (const Json& value : *values) {
    auto entry = ReadKeyValue(value);
    if (!entry) return false;
    entries.push_back(std::move(*entry));
  }
  return true;
}

Json ParseAnswer(std::string_view text) {
  return Json::parse(text.begin(), text.end(), nullptr, false);
}

tl::unexpected<DecodeError> Unreadable(std::string_view text) {
  return tl::unexpected("unreadable response: " + std::string(text.substr(0, kMaxErrorTextBytes)));
}

/// Adds an event to the batch of its revision; events arrive in revision order.
bool AppendEvent(const Json& event, std::vector<ChangeBatch>& batches) {
  const Json* value = Field(event, "kv");
  if (value == nullptr) return false;
  auto change = ReadKeyValue(*value);
  if (!change || change->revision <= 0) return false;
  const Json* type = Field(event, "type");
  change->deleted = type != nullptr && *type == "DELETE";
  if (batches.empty() || batches.back().revision != change->revision) {
    batches.push_back(ChangeBatch{{}, change->revision});
  }
  batches.back().changes.push_back(std::move(*change));
  return true;
}

}  // namespace

std::string PrefixEnd(std::string prefix) {
  while (!prefix.empty() && prefix.back() == '\xFF') prefix.pop_back();
  // etcd reads a single zero byte as "up to the last key".
  if (prefix.empty()) return std::string(1, '\0');
  prefix.back() = static_cast<char>(static_cast<unsigned char>(prefix.back()) + 1);
  return prefix;
}

std::string EncodeRange(const std::string& prefix) {
  const Json request = {{"key", EncodeBase64(prefix)},
                        {"range_end", EncodeBase64(PrefixEnd(prefix))}};
  return request.dump();
}

Decoded<Listing> DecodeRange(std::string_view text) {
  const Json answer = ParseAnswer(text);
  const auto revision = ReadStoreRevision(answer);
  Listing listing;
  if (!revision || !AppendKeyValues(answer, listing.entries)) return Unreadable(text);
  listing.revision = *revision;
  return listing;
}

std::string EncodeTransaction(const Transaction& transaction) {
  Json compare = Json::array();
  Json failure = Json::array();
  for (const Condition& condition : transaction.conditions) {
    const std::string key = EncodeBase64(condition.key);
    compare.push_back({{"key", key},
                       {"target", "MOD"},
                       {"result", "EQUAL"},
                       {"mod_revision", std::to_string(condition.revision)}});
    failure.push_back({{"request_range", {{"key", key}}}});
  }
  Json success = Json::array();
  for (const Write& write : transaction.writes) {
    success.push_back({{"request_put",
                        {{"key", EncodeBase64(write.key)},
                         {"value", EncodeBase64(write.value)},
                         {"lease", std::to_string(write.lease)}}}});
  }
  const Json request = {{"compare", compare}, {"success", success}, {"failure", failure}};
  return request.dump();
}

Decoded<TransactionResult> DecodeTransaction(std::string_view text) {
  const Json answer = ParseAnswer(text);
  const auto revision = ReadStoreRevision(answer);
  if (!revision) return Unreadable(text);
  TransactionResult result;
  result.revision = *revision;
  result.committed = ReadFlag(answer, "succeeded");
  const Json* responses = Field(answer, "responses");
  if (result.committed || responses == nullptr) return result;
  if (!responses->is_array()) return Unreadable(text);
  for (const Json& response : *responses) {
    const Json* range = Field(response, "response_range");
    if (range == nullptr || !AppendKeyValues(*range, result.current_values))
      return Unreadable(text);
  }
  return result;
}

std::string EncodeLeaseGrant(std::chrono::seconds time_to_live) {
  const Json request = {{"TTL", std::to_string(time_to_live.count())}, {"ID", "0"}};
  return request.dump();
}

std::string EncodeLease(LeaseId lease) {
  const Json request = {{"ID", std::to_string(lease)}};
  return request.dump();
}

Decoded<LeaseId> DecodeLeaseGrant(std::string_view text) {
  const auto lease = ReadInteger(ParseAnswer(text), "ID");
  if (!lease || *lease == 0) return Unreadable(text);
  return *lease;
}

Decoded<std::chrono::seconds> DecodeLeaseKeepAlive(std::string_view text) {
  const std::string_view line = text.substr(0, text.find('\n'));
  const Json answer = ParseAnswer(line);
  const Json* result = Field(answer, "result");
  if (result == nullptr) return Unreadable(text);
  const auto time_to_live = ReadInteger(*result, "TTL");
  if (!time_to_live) return Unreadable(text);
  return std::chrono::seconds(*time_to_live);
}

std::string EncodeWatch(const std::string& prefix, Revision first_revision) {
  const Json request = {{"create_request",
                         {{"key", EncodeBase64(prefix)},
                          {"range_end", EncodeBase64(PrefixEnd(prefix))},
                          {"start_revision", std::to_string(first_revision)},
                          {"progress_notify", true}}}};
  return request.dump();
}

Decoded<WatchMessage> DecodeWatch(std::string_view line) {
  const Json answer = ParseAnswer(line);
  const Json* result = Field(answer, "result");
  if (result == nullptr) return Unreadable(line);
  const auto revision = ReadStoreRevision(*result);
  const auto compact_revision = ReadInteger(*result, "compact_revision");
  if (!revision || !compact_revision) return Unreadable(line);
  WatchMessage message;
  message.store_revision = *revision;
  message.compact_revision = *compact_revision;
  message.created = ReadFlag(*result, "created");
  message.cancelled = ReadFlag(*result, "canceled");
  const Json* reason = Field(*result, "cancel_reason");
  if (reason != nullptr && reason->is_string()) message.reason = reason->get<std::string>();
  const Json* events = Field(*result, "events");
  if (events == nullptr) return message;
  if (!events->is_array()) return Unreadable(line);
  for (const Json& event : *events) {
    if (!AppendEvent(event, message.batches)) return Unreadable(line);
  }
  return message;
}

std::string DecodeErrorText(std::string_view text) {
  const Json answer = ParseAnswer(text);
  const Json* message = Field(answer, "message");
  if (message == nullptr) message = Field(answer, "error");
  if (message != nullptr && message->is_string()) return message->get<std::string>();
  return std::string(text.substr(0, kMaxErrorTextBytes));
}

}  // namespace fireflyrun::store::etcd
