#pragma once

#include <cstddef>
#include <string_view>

namespace fireflyrun::cli {

/// What a subcommand takes besides the flags that all operator subcommands share.
struct OperatorUsage {
  std::string_view synopsis;     ///< After `fireflyrun `, as in `apply FILE`.
  std::string_view description;  ///< One or more whole lines.
  std::size_t min_arguments = 0;
  std::size_t max_arguments = 0;
  bool writes = false;         ///< Takes --wait and --wait-timeout.
  bool takes_read_at = false;  ///< Takes --read-at.
  bool takes_json = false;     ///< Takes --json.
  bool needs_store = true;     ///< Works only with a store given.
};

}  // namespace fireflyrun::cli
