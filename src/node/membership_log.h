#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "membership/member.h"
#include "membership/view_change.h"

namespace fireflyrun::membership {
class Membership;
struct MemberState;
}  // namespace fireflyrun::membership

namespace fireflyrun::node {

/// Logs each change of another member as this node sees it: discovered, unreachable, reachable
/// again, draining, left.
class MembershipLog {
 public:
  explicit MembershipLog(membership::Membership& fleet);
  ~MembershipLog();
  MembershipLog(const MembershipLog&) = delete;
  MembershipLog& operator=(const MembershipLog&) = delete;

 private:
  /// The state of a member at its last change.
  struct LoggedState {
    std::uint64_t incarnation = 0;
    bool present = false;
    bool reachable = true;
    membership::TargetState target = membership::TargetState::kAbsent;
  };

  void OnChange(membership::ViewChange change, const membership::MemberState& state);

  membership::Membership& membership;
  std::size_t subscription;
  std::unordered_map<std::string, LoggedState> members;
};

}  // namespace fireflyrun::node
