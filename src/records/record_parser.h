#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "common/finding.h"
#include "records/record.h"

namespace fireflyrun::records {

/// Reads one record of any kind and schema that this build understands. Adds everything wrong to
/// `findings`, with places below `place`, and returns nullopt if there was anything. Does not look
/// at references.
std::optional<Record> ParseRecord(const nlohmann::json& value, const std::string& place,
                                  Findings& findings);

}  // namespace fireflyrun::records
