#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "common/clock.h"
#include "membership/control.pb.h"
#include "membership/control_context.h"
#include "membership/record_hooks.h"

namespace fireflyrun::membership {

/// Distributes changes of the records. Like a member entry, a change set is pushed once, when it is
/// first applied. A change set with previous revision 0 holds the whole book and can be applied to
/// any older one. A node that lacks the revision before a change set, or receives a higher revision
/// in a digest or notice, requests all changes since its own revision from the sender. The content
/// of the entries is opaque here; the hooks interpret it.
class RecordGossip {
 public:
  RecordGossip(ControlContext& shared, RecordHooks record_hooks);
  ~RecordGossip() = default;
  RecordGossip(const RecordGossip&) = delete;
  RecordGossip& operator=(const RecordGossip&) = delete;

  records::BookRevision LocalRevision() const;
  /// Pushes a change set that this node read from the store and applied, to its own zone and all
  /// other zones.
  void Publish(std::string_view change_set);

  /// `from_own_zone`: a delegate forwards only change sets from its own zone to other zones.
  void OnChangeSet(const pb::ChangeSet& change_set, const std::string& from, bool from_own_zone);
  /// Handles another node's revision: requests the changes that this node lacks, or sends the other
  /// node this node's higher revision.
  void OnRevision(const records::BookRevision& revision, const std::string& from);
  std::uint64_t StoreGeneration() const;
  /// A node whose connections to the store fell silent learns of its return from others.
  void OnStoreGeneration(std::uint64_t generation);
  void OnRequest(const pb::RecordRequest& request, const std::string& from);
  void OnChunk(const pb::TransferChunk& chunk, const std::string& from);

 private:
  struct Incoming {
    std::uint64_t transfer_id = 0;
    std::string from;
    std::vector<std::string> chunks;
    std::size_t missing = 0;
  };

  void Push(const pb::ChangeSet& change_set, bool to_other_zones);
  void RequestChanges(const std::string& peer);

  ControlContext& context;
  RecordHooks hooks;
  SteadyTime requested_at;
  bool request_pending = false;
  Incoming incoming;
};

}  // namespace fireflyrun::membership
