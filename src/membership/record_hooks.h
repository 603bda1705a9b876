#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace fireflyrun::membership {

/// How the spread of records reaches this node's book of records. The bytes are serialized
/// pb::ChangeSet and pb::Transfer messages (control.pb.h).
struct RecordHooks {
  std::function<std::uint64_t()> local_revision;
  /// False when the change set does not follow the local revision or is refused.
  std::function<bool(std::string_view)> apply_change_set;
  /// False when the transfer does not start at or below the local revision, or is refused.
  std::function<bool(std::string_view)> apply_transfer;
  /// A serialized pb::Transfer of every entry changed after the revision.
  std::function<std::string(std::uint64_t)> changes_since;
  /// False while the node gets newer records from where all come from; empty: never.
  std::function<bool(std::uint64_t revision)> accepts_peer_records;
};

}  // namespace fireflyrun::membership
