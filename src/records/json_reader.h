#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "common/finding.h"

namespace fireflyrun::records {

/// Reads JSON text that may come from anyone: bounded nesting, no repeated keys, valid UTF-8, no
/// byte order mark. Adds what is wrong to `findings`, with places that start with `file_name`.
/// Returns nullopt when the text could not be read to its end.
std::optional<nlohmann::json> ReadJson(std::string_view file_name, std::string_view text,
                                       Findings& findings);

/// Appends one step to a place `FILE:/json/pointer`; unprintable characters are replaced.
std::string ChildPlace(std::string_view place, std::string_view key);

/// `text` fit for a finding: unprintable characters replaced, long text cut.
std::string Printable(std::string_view text);

}  // namespace fireflyrun::records
