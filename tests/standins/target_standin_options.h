#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "common/clock.h"
#include "common/finding.h"

namespace fireflyrun::standins {

/// A call that the target makes for each of its requests.
struct DownstreamCall {
  std::string service;
  std::string path;
};

/// The command line of target_standin.
struct TargetOptions {
  std::uint16_t port = 0;
  std::string service = "service";
  std::string node_admin;   ///< IP:PORT to announce to; empty: announces nowhere.
  std::string node_caller;  ///< IP:PORT for the target's own calls.
  std::size_t slots = 90;
  Duration service_time = Duration::zero();
  std::vector<DownstreamCall> calls;
  int retries = 0;  ///< The target's own repeats of a failed call, for baselines.
};

tl::expected<TargetOptions, Findings> ParseTargetOptions(int argc, char** argv);

}  // namespace fireflyrun::standins
