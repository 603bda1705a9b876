#pragma once

#include <functional>
#include <string>

#include "common/id128.h"

namespace fireflyrun::peer::pb {
class Frame;
}

namespace fireflyrun::peer {

/// Callbacks from a Connection to its owner. None is called after Connection::Close().
struct ConnectionHooks {
  /// Handles a received frame; may move its fields out.
  std::function<void(pb::Frame&)> on_frame;
  /// The kernel accepted the last byte of a call. May be called from within Connection::Flush().
  std::function<void(const Id128& call_id)> on_call_handed_over;
  /// The stream ended, failed or was malformed. Never called from within a member of Connection.
  std::function<void(const std::string& reason)> on_closed;
};

}  // namespace fireflyrun::peer
