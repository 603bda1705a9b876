#include "node/fleet_retry_share.h"

#include <tuple>
#include <utility>

#include "membership/member_state.h"
#include "membership/membership.h"
#include "membership/view.h"
#include "membership/view_change.h"

namespace fireflyrun::node {
namespace {

/// Total order of members, the same on every node.
bool Precedes(const membership::MemberState& one, const membership::MemberState& other) {
  return std::tie(one.name_hash, one.member.node) < std::tie(other.name_hash, other.member.node);
}

}  // namespace

FleetRetryShare::FleetRetryShare(membership::Membership& fleet,
                                 const policy::FleetRetryBound& bound,
                                 std::function<bool()> has_discovered_all_members)
    : membership(fleet),
      discovered_all_members(std::move(has_discovered_all_members)),
      eligibility(bound) {
  if (!bound.IsSet()) return;
  this->subscription =
      fleet.Subscribe([this](membership::ViewChange, const membership::MemberState&) {
        this->eligibility.OnFleetSummary(this->SummarizeFleet(), SteadyClock::now());
      });
}

FleetRetryShare::~FleetRetryShare() {
  if (this->subscription) this->membership.Unsubscribe(*this->subscription);
}

bool FleetRetryShare::HoldsFreeRetry() {
  const SteadyTime now = SteadyClock::now();
  // The roster's contents can change without a change of the membership view.
  this->eligibility.OnFleetSummary(this->SummarizeFleet(), now);
  return this->eligibility.IsEligible(now);
}

policy::FleetSummary FleetRetryShare::SummarizeFleet() const {
  const membership::View& view = this->membership.GetView();
  const membership::MemberState* self = view.Find(view.Self().node);
  policy::FleetSummary summary{0, 0, 0, this->discovered_all_members()};
  for (const std::string& zone : view.Zones()) {
    for (const membership::MemberState* state : view.MembersOf(zone)) {
      if (!state->IsPresent()) continue;
      ++summary.members;
      if (state->IsReachable()) ++summary.reachable;
      if (state != self && Precedes(*state, *self)) ++summary.preceding;
    }
  }
  return summary;
}

}  // namespace fireflyrun::node
