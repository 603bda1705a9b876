#pragma once

#include <optional>

#include "membership/control.pb.h"
#include "membership/member.h"

namespace fireflyrun::membership {

pb::MemberEntry EncodeMember(const Member& member);
/// Nullopt for an entry without a node, a zone or an address, or with a port above 65,535.
std::optional<Member> DecodeMember(const pb::MemberEntry& entry);

pb::TargetState EncodeTargetState(TargetState state);
/// Unknown values (of a newer program) count as absent.
TargetState DecodeTargetState(pb::TargetState state);

}  // namespace fireflyrun::membership
