#pragma once

namespace fireflyrun::membership {

/// The kind of change that View reports to its subscribers.
enum class ViewChange {
  kEntry,         ///< The member is new or its entry was replaced.
  kReachability,  ///< MemberState::reachability changed.
  /// The member was unreachable for View::kMaxUnreachableTime, or it stopped and its entry has
  /// expired. Its MemberState is valid until the subscribers return.
  kRemoved,
};

}  // namespace fireflyrun::membership
