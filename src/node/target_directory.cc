#include "node/target_directory.h"

#include <nlohmann/json.hpp>

#include "membership/member_state.h"
#include "membership/membership.h"
#include "membership/view.h"
#include "membership/view_change.h"

namespace fireflyrun::node {

using membership::MemberState;
using membership::Reachability;
using membership::TargetState;
using membership::ViewChange;

TargetDirectory::TargetDirectory(membership::Membership& fleet) : membership(fleet) {
  this->subscription =
      this->membership.Subscribe([this](ViewChange change, const MemberState& state) {
        this->candidates.clear();
        if (change == ViewChange::kRemoved) this->serving_starts.erase(state.member.node);
      });
}

TargetDirectory::~TargetDirectory() { this->membership.Unsubscribe(this->subscription); }

SteadyTime TargetDirectory::FirstServing(const MemberState& state) {
  ServingStart& start = this->serving_starts[state.member.node];
  if (start.incarnation != state.member.incarnation) {
    start = {state.member.incarnation, SteadyClock::now()};
  }
  return start.first_serving;
}

const std::vector<policy::Candidate>& TargetDirectory::CandidatesOf(const std::string& service) {
  const auto found = this->candidates.find(service);
  if (found != this->candidates.end()) return found->second;
  std::vector<policy::Candidate> list;
  for (const MemberState* state : this->membership.GetView().MembersServing(service)) {
    const auto& member = state->member;
    policy::Candidate candidate;
    candidate.node = member.node;
    candidate.incarnation = member.incarnation;
    candidate.zone = member.zone;
    candidate.region = member.region;
    candidate.slots = member.slots;
    candidate.reachable = state->reachability != Reachability::kUnreachable;
    candidate.leaving = member.target_state != TargetState::kServing;
    candidate.first_seen = this->FirstServing(*state);
    list.push_back(std::move(candidate));
  }
  return this->candidates.emplace(service, std::move(list)).first->second;
}

std::optional<peer::PeerAddress> TargetDirectory::AddressOf(std::string_view node,
                                                            std::uint64_t incarnation) const {
  const MemberState* state = this->membership.GetView().Find(node);
  if (state == nullptr || state->member.incarnation != incarnation) return std::nullopt;
  const auto& member = state->member;
  return peer::PeerAddress{member.node, member.incarnation, member.ip, member.peer_port};
}

std::string TargetDirectory::Describe() const {
  auto targets = nlohmann::json::array();
  const auto& view = this->membership.GetView();
  for (const std::string& zone : view.Zones()) {
    for (const MemberState* state : view.MembersOf(zone)) {
      const auto& member = state->member;
      if (!state->IsPresent() || member.service.empty()) continue;
      targets.push_back(
          {{"node", member.node},
           {"zone", member.zone},
           {"service", member.service},
           {"slots", member.slots},
           {"state", membership::kTargetStateNames.NameOf(member.target_state)},
           {"reachability", membership::kReachabilityNames.NameOf(state->reachability)}});
    }
  }
  return targets.dump();
}

std::uint32_t TargetDirectory::TicketWindowOf(std::string_view node) const {
  const MemberState* state = this->membership.GetView().Find(node);
  return state == nullptr ? 0 : state->member.ticket_window;
}

}  // namespace fireflyrun::node
