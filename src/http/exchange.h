#pragma once

#include <functional>

#include "http/response.h"

namespace fireflyrun::http {

/// One received request that awaits its response. Used on the event loop's thread only.
class Exchange {
 public:
  Exchange() = default;
  virtual ~Exchange() = default;
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  /// Sends the response. Later calls, and calls after the caller has gone, do nothing.
  virtual void Respond(Response response) = 0;

  /// Sets the hook that runs, from the event loop, when the caller's connection closes before the
  /// response is sent. A caller that closes only its sending side counts as gone.
  virtual void OnCallerGone(std::function<void()> hook) = 0;
};

}  // namespace fireflyrun::http
