#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "common/clock.h"
#include "common/timer_subscription.h"
#include "membership/control.pb.h"
#include "membership/control_context.h"

namespace fireflyrun::membership {

/// Distributes member entries by rumor mongering backed by anti-entropy (Demers et al., 1987).
///
/// Push: a node forwards an entry once, when it first receives it, to `fanout` neighbors. Delegates
/// also push the entries of their own zone to one delegate of every other zone.
///
/// Exchange: each period a node sends its digests to a random member of its zone, and a delegate
/// also to a delegate of a random other zone. If the digests of a zone differ, the side with fewer
/// members sends the fingerprints of its entries; the other side replies with the entries missing
/// from that list and requests those that it lacks itself.
///
/// A node that lacks many entries of another zone requests them from a random member of its own
/// zone, drawn for each such zone, so that a new node's view is filled by many peers.
class Gossip {
 public:
  /// Adds the fields of other components to an outgoing digest.
  using DigestHook = std::function<void(pb::Digest&)>;

  Gossip(ControlContext& shared, DigestHook digest_hook)
      : context(shared), complete_digest(std::move(digest_hook)) {}
  ~Gossip() = default;
  Gossip(const Gossip&) = delete;
  Gossip& operator=(const Gossip&) = delete;

  void Start();
  /// Queues an entry for the next push.
  void Push(const Member& member);
  /// Pushes the queued entries now.
  void FlushUpdates();

  /// Returns true if the entry was new, newer or in conflict.
  bool OnMember(const pb::MemberEntry& entry, const std::string& from);
  void OnDigest(const pb::Digest& digest, const std::string& from);
  void OnFingerprints(const pb::MarkList& list, const std::string& from);
  void OnEntryRequest(const pb::MarkRequest& request, const std::string& from);
  /// Replies to a join request with entries of the joining node's zone, the delegates of every
  /// other zone, and digests from which it finds the remaining entries.
  void ReplyToJoin(const std::string& zone, const std::string& to);

 private:
  struct PendingUpdate {
    std::string zone;
    bool is_own = false;
    pb::Part part;
  };

  void Exchange();
  pb::Digest BuildDigest(bool answer) const;
  void SendDigest(const std::string& to, bool answer);
  void SendFingerprints(const std::string& zone, std::size_t missing, const std::string& to);
  void SendEntries(const View::StatePointers& states, const std::string& to);
  void PushOne(const PendingUpdate& item, const std::vector<std::string>& neighbors);

  ControlContext& context;
  DigestHook complete_digest;
  TimerSubscription exchange_timer;
  TimerSubscription rotate_timer;
  TimerSubscription push_timer;
  std::vector<PendingUpdate> pending_updates;
  std::map<std::string, SteadyTime> requested_at;  ///< By zone: the last request of many entries.
};

}  // namespace fireflyrun::membership
