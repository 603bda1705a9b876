#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/clock.h"
#include "peer/peer_address.h"
#include "policy/candidate.h"

namespace fireflyrun::membership {
class Membership;
struct MemberState;
}  // namespace fireflyrun::membership

namespace fireflyrun::node {

/// The membership view as the call path needs it: the targets of each service, and the address of
/// one incarnation of a node.
class TargetDirectory {
 public:
  explicit TargetDirectory(membership::Membership& fleet);
  ~TargetDirectory();
  TargetDirectory(const TargetDirectory&) = delete;
  TargetDirectory& operator=(const TargetDirectory&) = delete;

  /// Every target that announces the service, including leaving ones. Valid until the view changes.
  const std::vector<policy::Candidate>& CandidatesOf(const std::string& service);

  /// Nullopt if that incarnation of the node is not in the view.
  std::optional<peer::PeerAddress> AddressOf(std::string_view node,
                                             std::uint64_t incarnation) const;

  /// Every target as a JSON array of `{"node", "zone", "service", "slots", "state",
  /// "reachability"}`.
  std::string Describe() const;

  /// The ticket window in which tickets for the node are issued now; 0 for an unknown node.
  std::uint32_t TicketWindowOf(std::string_view node) const;

 private:
  struct ServingStart {
    std::uint64_t incarnation = 0;
    SteadyTime first_serving;
  };

  SteadyTime FirstServing(const membership::MemberState& state);

  membership::Membership& membership;
  std::size_t subscription = 0;
  std::unordered_map<std::string, std::vector<policy::Candidate>> candidates;
  std::unordered_map<std::string, ServingStart> serving_starts;
};

}  // namespace fireflyrun::node
