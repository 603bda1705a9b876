#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fireflyrun::cli {

/// One parsed line of a node's log.
struct LogRecord {
  std::string text;  ///< The line from `ts=` to its end.
  std::vector<std::pair<std::string, std::string>> fields;

  /// Value of the field `name`; empty if the line has no such field.
  std::string_view Get(std::string_view name) const;
};

/// Parses one log line. Ignores a prefix before `ts=`, which log collectors may add. Returns
/// nullopt if the line is not from a node's log.
std::optional<LogRecord> ParseLogRecord(std::string_view line);

}  // namespace fireflyrun::cli
