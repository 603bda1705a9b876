#include "store/record_codec.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "records/record_envelope.h"
#include "records/record_key.h"

namespace fireflyrun::store {

RecordKeySpace::RecordKeySpace(const std::string& cluster) {
  this->common_prefix = "/fireflyrun/" + cluster + "/records";
  this->record_prefix = this->common_prefix + "/";
  this->guard_key = this->common_prefix + "_guard";
}

std::optional<records::RecordEntry> ReadRecordEntry(const RecordKeySpace& keys,
                                                    const KeyValue& key_value, Findings& problems) {
  std::string_view key_text = key_value.key;
  if (!key_text.starts_with(keys.record_prefix)) return std::nullopt;
  key_text.remove_prefix(keys.record_prefix.size());
  auto key = records::ParseRecordKey(key_text);
  if (!key) {
    problems.push_back({key_value.key, "is not KIND/NAME/vSCHEMA below the records' prefix"});
    return std::nullopt;
  }
  records::RecordEntry entry;
  entry.key = std::move(*key);
  entry.revision = key_value.revision;
  if (key_value.deleted) {
    entry.retired = true;
    return entry;
  }
  auto envelope = records::DecodeEnvelope(key_value.value);
  if (!envelope) {
    problems.push_back({key_value.key, envelope.error()});
    entry.body = key_value.value;
    return entry;
  }
  entry.body = std::move(envelope->body);
  entry.retired = envelope->retired;
  entry.write_id = std::move(envelope->write_id);
  return entry;
}

RecordListing ReadRecordListing(const RecordKeySpace& keys, const Listing& listing) {
  RecordListing read;
  read.store_revision = listing.revision;
  for (const KeyValue& key_value : listing.entries) {
    if (key_value.key == keys.guard_key) {
      read.guard_revision = key_value.revision;
      read.guard_value = key_value.value;
      continue;
    }
    auto entry = ReadRecordEntry(keys, key_value, read.problems);
    if (!entry) continue;
    read.transfer.to_revision =
        std::max(read.transfer.to_revision, records::BookRevision(entry->revision));
    read.transfer.entries.push_back(std::move(*entry));
  }
  return read;
}

}  // namespace fireflyrun::store
