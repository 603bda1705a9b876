#pragma once

#include <functional>
#include <string>

#include "common/timer_service.h"
#include "http/client.h"
#include "tests/standins/target_standin_options.h"

namespace fireflyrun::standins {

/// Announces the target to its node each second.
class Announcer {
 public:
  Announcer(const TargetOptions& target_options, std::uint16_t target_port, TimerService& timers,
            http::Client& http_client);

  /// Announces the state "leaving" from now on; calls `told` once the node has confirmed it and has
  /// no call here, or when there is no node to tell.
  void Leave(std::function<void()> told);

 private:
  void Announce();
  void Confirm();

  const TargetOptions& options;
  std::uint16_t port;
  TimerService& timers;
  http::Client& client;
  bool leaving = false;
  std::function<void()> on_told;
  TimerSubscription timer;
  TimerSubscription confirmation;
};

}  // namespace fireflyrun::standins
