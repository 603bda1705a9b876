#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fireflyrun::cli {

/// One line of a node's log, taken apart.
struct LogRecord {
  std::string text;  ///< From `ts=` on.
  std::vector<std::pair<std::string, std::string>> fields;

  /// Empty for a field that the line lacks.
  std::string_view Get(std::string_view name) const;
};

/// Nullopt for a line that is none of a node's; what stands before `ts=`, as collectors of logs put
/// it there, is passed over.
std::optional<LogRecord> ParseLogRecord(std::string_view line);

}  // namespace fireflyrun::cli
