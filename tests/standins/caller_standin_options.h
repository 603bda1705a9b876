#pragma once

#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "common/clock.h"
#include "common/finding.h"
#include "http/headers.h"
#include "tests/standins/caller_standin_mix.h"

namespace fireflyrun::standins {

/// The command line of caller_standin.
struct CallerOptions {
  std::vector<std::string> to;  ///< IP:PORT each; requests go to them in turn.
  std::string prefix;           ///< Put before each path, such as "/calendar".
  double rate = 100;            ///< Requests a second, whatever the answers (open loop).
  double seconds = 1;
  bool poisson = false;  ///< Exponential gaps in place of equal ones.
  Mix mix;
  int retries = 0;    ///< Immediate repeats of a request that was not answered whole.
  bool keys = false;  ///< POST requests carry an Idempotency-Key of their own.
  Duration timeout = std::chrono::seconds(10);
  http::Headers headers;  ///< Sent with each request.
};

tl::expected<CallerOptions, Findings> ParseCallerOptions(int argc, char** argv);

}  // namespace fireflyrun::standins
