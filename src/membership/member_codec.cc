#include "membership/member_codec.h"

#include <limits>

namespace fireflyrun::membership {

namespace {

bool IsPort(std::uint32_t value) { return value <= std::numeric_limits<std::uint16_t>::max(); }

bool IsComplete(const pb::MemberEntry& entry) {
  const bool is_named = !entry.node().empty() && !entry.zone().empty() && !entry.ip().empty();
  const bool has_ports = IsPort(entry.caller_port()) && IsPort(entry.peer_port()) &&
                         IsPort(entry.control_port()) && IsPort(entry.admin_port());
  return is_named && has_ports;
}

}  // namespace

pb::MemberEntry EncodeMember(const Member& member) {
  pb::MemberEntry entry;
  entry.set_node(member.node);
  entry.set_incarnation(member.incarnation);
  entry.set_version(member.version);
  entry.set_region(member.region);
  entry.set_zone(member.zone);
  entry.set_ip(member.ip);
  entry.set_caller_port(member.caller_port);
  entry.set_peer_port(member.peer_port);
  entry.set_control_port(member.control_port);
  entry.set_admin_port(member.admin_port);
  entry.set_service(member.service);
  entry.set_slots(member.slots);
  entry.set_target_state(EncodeTargetState(member.target_state));
  entry.set_ticket_window(member.ticket_window);
  entry.set_stopped(member.stopped);
  entry.set_generation(member.generation);
  return entry;
}

std::optional<Member> DecodeMember(const pb::MemberEntry& entry) {
  if (!IsComplete(entry)) return std::nullopt;
  Member member;
  member.node = entry.node();
  member.incarnation = entry.incarnation();
  member.version = entry.version();
  member.region = entry.region();
  member.zone = entry.zone();
  member.ip = entry.ip();
  member.caller_port = static_cast<std::uint16_t>(entry.caller_port());
  member.peer_port = static_cast<std::uint16_t>(entry.peer_port());
  member.control_port = static_cast<std::uint16_t>(entry.control_port());
  member.admin_port = static_cast<std::uint16_t>(entry.admin_port());
  member.service = entry.service();
  member.slots = entry.slots();
  member.target_state = DecodeTargetState(entry.target_state());
  member.ticket_window = entry.ticket_window();
  member.stopped = entry.stopped();
  member.generation = entry.generation();
  return member;
}

pb::TargetState EncodeTargetState(TargetState state) {
  switch (state) {
    case TargetState::kServing:
      return pb::TARGET_STATE_SERVING;
    case TargetState::kLeaving:
      return pb::TARGET_STATE_LEAVING;
    case TargetState::kAbsent:
      break;
  }
  return pb::TARGET_STATE_ABSENT;
}

TargetState DecodeTargetState(pb::TargetState state) {
  if (state == pb::TARGET_STATE_SERVING) return TargetState::kServing;
  if (state == pb::TARGET_STATE_LEAVING) return TargetState::kLeaving;
  return TargetState::kAbsent;
}

}  // namespace fireflyrun::membership
