#pragma once

#include <string>

#include "membership/member.h"

namespace fireflyrun::membership {

/// The address IP:PORT at which a member receives control messages.
std::string ControlAddressOf(const Member& member);

}  // namespace fireflyrun::membership
