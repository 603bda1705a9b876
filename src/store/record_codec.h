#pragma once

#include <optional>
#include <string>

#include "common/finding.h"
#include "records/record_entry.h"
#include "store/key_value.h"
#include "store/record_listing.h"

namespace fireflyrun::store {

/// The keys of one cluster's records.
struct RecordKeySpace {
  explicit RecordKeySpace(const std::string& cluster);

  std::string record_prefix;  ///< Every record's key starts with this.
  std::string guard_key;      ///< Written by every write of records, so that writes are in line.
  std::string common_prefix;  ///< Of both, so that one listing has them at one moment.
};

/// A record's entry; nullopt for a key that is no record's. A value that cannot be read becomes
/// the body as it is, so that every reader holds the same entry, and is reported to `problems`. A
/// deleted key becomes a retired record.
std::optional<records::RecordEntry> ReadRecordEntry(const RecordKeySpace& keys,
                                                    const KeyValue& key_value, Findings& problems);

/// Sorts a listing of `common_prefix` into entries and guard.
RecordListing ReadRecordListing(const RecordKeySpace& keys, const Listing& listing);

}  // namespace fireflyrun::store
