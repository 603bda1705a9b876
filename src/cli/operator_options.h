#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "cli/operator_usage.h"

namespace fireflyrun::cli {

/// What an operator subcommand was given on its command line and in its environment.
struct OperatorOptions {
  std::vector<std::string> store_endpoints;  ///< `IP:PORT`.
  std::vector<std::string> admin_addresses;  ///< `IP:PORT`; empty to take the roster's.
  std::string cluster = "default";
  bool wait = false;
  std::chrono::seconds wait_timeout{60};
  std::optional<std::int64_t> read_at;
  bool json = false;
  std::vector<std::string> arguments;
};

/// Reads flags and environment. When the subcommand should not run, because help was asked for or
/// the usage is wrong, everything is printed and the exit code returned.
tl::expected<OperatorOptions, int> ParseOperatorOptions(int argc, char** argv,
                                                        const OperatorUsage& usage);

}  // namespace fireflyrun::cli
