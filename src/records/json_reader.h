#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "common/finding.h"

namespace fireflyrun::records {

/// What becomes of values that are nested more deeply than kMaxJsonDepth.
enum class DeepValues {
  kRejected,  ///< The text can't be read.
  kDropped,   ///< Read as null.
};

/// Reads JSON text from an untrusted source: limits nesting and rejects repeated keys, invalid
/// UTF-8 and byte order marks. Adds errors to `findings`, with places that start with `file_name`.
/// Returns nullopt if the text could not be read to its end.
std::optional<nlohmann::json> ReadJson(std::string_view file_name, std::string_view text,
                                       Findings& findings,
                                       DeepValues deep_values = DeepValues::kRejected);

/// Appends one key to a place `FILE:/json/pointer`; unprintable characters are replaced.
std::string ChildPlace(std::string_view place, std::string_view key);

/// Returns `text` for display in a finding: unprintable characters replaced, long text truncated.
std::string Printable(std::string_view text);

}  // namespace fireflyrun::records
