#pragma once

#include <string>

#include "membership/member.h"

namespace fireflyrun::membership {

/// Where a member takes control messages, IP:PORT.
std::string ControlAddressOf(const Member& member);

}  // namespace fireflyrun::membership
