#pragma once

namespace fireflyrun::membership {

/// Why View's subscribers are called.
enum class ViewChange {
  kEntry,         ///< The member is new or its entry was replaced.
  kReachability,  ///< The belief about the member changed.
  kRemoved,       ///< The member is about to leave the view.
};

}  // namespace fireflyrun::membership
