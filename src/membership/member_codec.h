#pragma once

#include <optional>

#include "membership/control.pb.h"
#include "membership/member.h"

namespace fireflyrun::membership {

pb::MemberEntry EncodeMember(const Member& member);
/// Returns nullopt if the node, zone or address is missing or a port is above 65,535.
std::optional<Member> DecodeMember(const pb::MemberEntry& entry);

pb::TargetState EncodeTargetState(TargetState state);
/// Maps unknown values, as sent by newer versions, to kAbsent.
TargetState DecodeTargetState(pb::TargetState state);

}  // namespace fireflyrun::membership
