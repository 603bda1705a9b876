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

/// Spreads member entries (after Demers et al., 1987: rumour mongering with anti-entropy behind
/// it).
///
/// Push: an entry heard for the first time goes once to `fanout` neighbours; delegates also push
/// the entries of their own zone to one delegate of every other zone.
///
/// Exchange: each period a node sends its digests to a random member of its zone, a delegate also
/// to the delegate of a random other zone. Where a zone's digests differ, the side with fewer
/// members sends the marks of the entries it holds; the other answers with the entries that those
/// lack and asks for those it lacks itself.
///
/// A node that lacks most of a zone asks a member of its own zone drawn at random for each such
/// zone, so that a newcomer's view comes from many peers, a zone from each.
class Gossip {
 public:
  /// Adds to a digest what other parts compare, and reads it.
  using DigestHook = std::function<void(pb::Digest&)>;

  Gossip(ControlContext& shared, DigestHook digest_hook)
      : context(shared), complete_digest(std::move(digest_hook)) {}
  ~Gossip() = default;
  Gossip(const Gossip&) = delete;
  Gossip& operator=(const Gossip&) = delete;

  void Start();
  /// Pushes an entry with the next flush.
  void Push(const Member& member);
  /// Sends what is waiting to be pushed now.
  void FlushNews();

  /// True when the entry was new, newer or an entry in conflict.
  bool OnMember(const pb::MemberEntry& entry, const std::string& from);
  void OnDigest(const pb::Digest& digest, const std::string& from);
  void OnMarks(const pb::MarkList& list, const std::string& from);
  void OnWanted(const pb::MarkRequest& request, const std::string& from);
  /// What a node that has just started is told: the entries of its zone, some of every other zone,
  /// and the digests by which it finds the rest.
  void Welcome(const std::string& zone, const std::string& to);

 private:
  struct News {
    std::string zone;
    bool is_own = false;
    pb::Part part;
  };

  void Exchange();
  pb::Digest BuildDigest(bool answer) const;
  void SendDigest(const std::string& to, bool answer);
  void SendMarks(const std::string& zone, std::size_t missing, const std::string& to);
  void SendEntries(const View::StatePointers& states, const std::string& to);
  void PushOne(const News& news, const std::vector<std::string>& neighbours);

  ControlContext& context;
  DigestHook complete_digest;
  TimerSubscription exchange_timer;
  TimerSubscription rotate_timer;
  TimerSubscription news_timer;
  std::vector<News> news;
  std::map<std::string, SteadyTime> asked_at;  ///< When a zone was last asked for as a whole.
};

}  // namespace fireflyrun::membership
