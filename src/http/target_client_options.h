#pragma once

#include <cstddef>
#include <memory>

#include "common/clock.h"
#include "policy/held_bytes.h"

namespace fireflyrun::http {

struct TargetClientOptions {
  Duration connect_timeout = std::chrono::seconds(1);
  /// How long a connection stays reusable where the target states no `Keep-Alive` timeout.
  Duration idle_limit = std::chrono::seconds(3);
  /// A request that isn't repeatable goes out on a connection idle for less than this.
  Duration unrepeatable_idle_limit = std::chrono::seconds(1);
  /// TCP_USER_TIMEOUT: how long sent bytes may stay unacknowledged.
  Duration unacknowledged_limit = std::chrono::seconds(10);
  std::size_t max_connections = 1024;      ///< Per address, idle ones included.
  std::size_t max_idle_connections = 128;  ///< Per address.
  /// Counts the answers in progress, with what else the process holds. Beyond its limit, the
  /// request with the largest answer fails. Not null.
  std::shared_ptr<policy::HeldBytes> held_bytes =
      std::make_shared<policy::HeldBytes>(std::size_t{64} << 20);
};

}  // namespace fireflyrun::http
