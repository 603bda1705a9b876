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

/// Spreads changes of the records. A change set is pushed once when first applied, like an entry.
/// One with nothing before it is a whole book and follows any older one. A node that lacks what
/// went before a change set, or hears of a higher revision in a digest, asks the sender for
/// everything since its own revision. What the entries say is the hooks' business.
class RecordSpread {
 public:
  RecordSpread(ControlContext& shared, RecordHooks record_hooks);
  ~RecordSpread() = default;
  RecordSpread(const RecordSpread&) = delete;
  RecordSpread& operator=(const RecordSpread&) = delete;

  std::uint64_t LocalRevision() const;
  /// Spreads a change set taken from the store and applied here, to the zone and all other zones.
  void Publish(std::string_view change_set);

  /// `from_own_zone`: a delegate pushes on to other zones only what its own zone told it.
  void OnChangeSet(const pb::ChangeSet& change_set, const std::string& from, bool from_own_zone);
  /// Another node has this revision in force: asks for what is lacking here, or tells the other
  /// that it lags.
  void OnRevision(std::uint64_t revision, const std::string& from);
  void OnRequest(const pb::RecordRequest& request, const std::string& from);
  void OnChunk(const pb::TransferChunk& chunk, const std::string& from);

 private:
  struct Incoming {
    std::uint64_t transfer_id = 0;
    std::string from;
    std::vector<std::string> pieces;
    std::size_t missing = 0;
  };

  void Push(const pb::ChangeSet& change_set, bool to_other_zones);
  void Ask(const std::string& peer);

  ControlContext& context;
  RecordHooks hooks;
  SteadyTime asked_at;
  bool is_asking = false;
  Incoming incoming;
};

}  // namespace fireflyrun::membership
