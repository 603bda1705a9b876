#pragma once

#include <cstddef>
#include <string_view>

namespace fireflyrun::cli {

/// Usage of one subcommand: its arguments, and flags beyond those all operator subcommands share.
struct OperatorUsage {
  std::string_view synopsis;     ///< Without the leading `fireflyrun `, such as `apply FILE`.
  std::string_view description;  ///< One or more lines without a trailing newline.
  std::size_t min_arguments = 0;
  std::size_t max_arguments = 0;
  bool writes = false;         ///< Takes --wait and --wait-timeout.
  bool takes_read_at = false;  ///< Takes --read-at.
  bool takes_json = false;     ///< Takes --json.
  bool needs_store = true;     ///< Requires --store or FIREFLYRUN_STORE.
};

}  // namespace fireflyrun::cli
