#include "membership/control_address.h"

namespace fireflyrun::membership {

std::string ControlAddressOf(const Member& member) {
  return member.ip + ":" + std::to_string(member.control_port);
}

}  // namespace fireflyrun::membership
