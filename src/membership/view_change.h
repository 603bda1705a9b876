#pragma once

namespace fireflyrun::membership {

/// The kind of change that View reports to its subscribers.
enum class ViewChange {
  kEntry,         ///< The member is new or its entry was replaced.
  kReachability,  ///< The member's effective reachability changed.
  kRemoved,       ///< The member is being removed from the view.
};

}  // namespace fireflyrun::membership
