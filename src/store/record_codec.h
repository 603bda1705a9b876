#pragma once

#include <optional>
#include <string>

#include "common/finding.h"
#include "records/record_entry.h"
#include "store/key_value.h"
#include "store/record_listing.h"

namespace fireflyrun::store {

/// The store keys of the records of one cluster.
struct RecordKeySpace {
  explicit RecordKeySpace(const std::string& cluster);

  std::string record_prefix;  ///< Prefix of the keys of all records.
  std::string guard_key;      ///< Written by every write of records, which serializes the writes.
  std::string common_prefix;  ///< Prefix of both, so that one listing is a snapshot of both.
};

/// Decodes the entry of a record; nullopt if the key is not that of a record. A value that cannot
/// be decoded becomes the body unchanged, so that every reader holds the same entry, and is
/// reported in `problems`. A deleted key becomes a retired record.
std::optional<records::RecordEntry> ReadRecordEntry(const RecordKeySpace& keys,
                                                    const KeyValue& key_value, Findings& problems);

/// Splits a listing of `common_prefix` into record entries and guard.
RecordListing ReadRecordListing(const RecordKeySpace& keys, const Listing& listing);

}  // namespace fireflyrun::store
