#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "records/book_revision.h"

namespace fireflyrun::membership {

/// Access of the membership protocol to this node's record book and to what it knows of the store.
/// The bytes are serialized pb::ChangeSet and pb::Transfer messages (control.pb.h).
struct RecordHooks {
  std::function<records::BookRevision()> local_revision;
  /// Returns false if the change set does not follow the local revision or is refused.
  std::function<bool(std::string_view)> apply_change_set;
  /// Returns false if the transfer starts above the local revision or is refused.
  std::function<bool(std::string_view)> apply_transfer;
  /// Returns a serialized pb::Transfer of all entries changed after the given revision.
  std::function<std::string(const records::BookRevision&)> changes_since;
  /// Returns false while the node reads newer records from their source itself; an empty hook
  /// means that records are always accepted from peers.
  std::function<bool(const records::BookRevision& revision)> accepts_peer_records;
  /// The store's generation as far as this node knows; 0 for none. May be empty.
  std::function<std::uint64_t()> store_generation;
  /// Another node knows of this generation of the store. May be empty.
  std::function<void(std::uint64_t generation)> on_store_generation;
};

}  // namespace fireflyrun::membership
