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

void LogMember(LogLevel level, std::string_view event_name, const MemberState& state,
               LogUrgency urgency = LogUrgency::kState) {
  const auto& member = state.member;
  LogEvent event(level, "membership", event_name, urgency);
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
    if (this->members.erase(member.node) > 0) LogMember(LogLevel::kInfo, "member-forgotten", state);
    return;
  }
  const auto [entry, is_new] = this->members.try_emplace(member.node);
  const LoggedState current{member.incarnation, state.IsPresent(), state.IsReachable(),
                            member.target_state};
  const LoggedState previous = std::exchange(entry->second, current);
  if (!current.present) {
    if (previous.present) LogMember(LogLevel::kInfo, "member-left", state);
  } else if (is_new || !previous.present || previous.incarnation != current.incarnation) {
    LogMember(LogLevel::kInfo, "member-seen", state, LogUrgency::kSuccess);
  } else if (previous.reachable != current.reachable) {
    LogMember(LogLevel::kWarning, current.reachable ? "member-regained" : "member-lost", state);
  } else if (previous.target != current.target) {
    LogMember(LogLevel::kInfo, EventOf(current.target), state);
  }
}

}  // namespace fireflyrun::node
