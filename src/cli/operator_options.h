#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "cli/operator_usage.h"

namespace fireflyrun::cli {

/// Options of an operator subcommand from its command line and environment.
struct OperatorOptions {
  std::vector<std::string> store_endpoints;  ///< `IP:PORT`.
  std::vector<std::string> admin_addresses;  ///< `IP:PORT`; if empty, the roster's are used.
  std::string cluster = "default";
  bool wait = false;
  std::chrono::seconds wait_timeout{60};
  std::optional<std::int64_t> read_at;
  bool json = false;
  std::vector<std::string> arguments;
};

/// Reads flags and environment. If help is requested or the usage is wrong, prints the help or the
/// findings and returns the exit code as the error; the subcommand must then not run.
tl::expected<OperatorOptions, int> ParseOperatorOptions(int argc, char** argv,
                                                        const OperatorUsage& usage);

}  // namespace fireflyrun::cli
