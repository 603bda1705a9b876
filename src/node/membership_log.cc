#include "node/membership_log.h"

#include <utility>

#include "common/log_event.h"
#include "membership/member_state.h"
#include "membership/membership.h"
#include "membership/view.h"

namespace fireflyrun::node {
namespace {

using membership::MemberState;
using membership::TargetState;

void Tell(LogLevel level, std::string_view what, const MemberState& state,
          LogUrgency urgency = LogUrgency::kState) {
  const auto& member = state.member;
  LogEvent event(level, "membership", what, urgency);
  if (!event.Active()) return;
  event.Add("member", member.node).Add("incarnation", member.incarnation);
  event.Add("version", member.version).Add("zone", member.zone);
  event.Add("service", member.service).Add("slots", member.slots);
  event.Add("target", membership::kTargetStateNames.NameOf(member.target_state));
  event.Add("reachability", membership::kReachabilityNames.NameOf(state.reachability));
  const SteadyTime now = SteadyClock::now();
  event.Add("since_ms", now - state.reachability_since);
  event.Add("entry_age_ms", now - state.changed_at);
}

std::string_view EventOf(TargetState target) {
  switch (target) {
    case TargetState::kServing:
      return "member-serves";
    case TargetState::kLeaving:
      return "member-drains";
    case TargetState::kAbsent:
      break;
  }
  return "member-without-target";
}

}  // namespace

MembershipLog::MembershipLog(membership::Membership& fleet)
    : membership(fleet),
      subscription(fleet.Subscribe([this](membership::ViewChange change, const MemberState& state) {
        this->OnChange(change, state);
      })) {}

MembershipLog::~MembershipLog() { this->membership.Unsubscribe(this->subscription); }

void MembershipLog::OnChange(membership::ViewChange change, const MemberState& state) {
  const auto& member = state.member;
  if (member.node == this->membership.GetView().Self().node) return;
  if (change == membership::ViewChange::kRemoved) {
    if (this->members.erase(member.node) > 0) Tell(LogLevel::kInfo, "member-forgotten", state);
    return;
  }
  const auto [entry, is_new] = this->members.try_emplace(member.node);
  const Told now{member.incarnation, state.IsPresent(), state.IsReachable(), member.target_state};
  const Told before = std::exchange(entry->second, now);
  if (!now.present) {
    if (before.present) Tell(LogLevel::kInfo, "member-left", state);
  } else if (is_new || !before.present || before.incarnation != now.incarnation) {
    Tell(LogLevel::kInfo, "member-seen", state, LogUrgency::kSuccess);
  } else if (before.reachable != now.reachable) {
    Tell(LogLevel::kWarning, now.reachable ? "member-regained" : "member-lost", state);
  } else if (before.target != now.target) {
    Tell(LogLevel::kInfo, EventOf(now.target), state);
  }
}

}  // namespace fireflyrun::node
