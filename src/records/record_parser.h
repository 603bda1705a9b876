#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "common/finding.h"
#include "records/record.h"

namespace fireflyrun::records {

/// Parses one record of any kind and schema that this build supports. Adds all errors to
/// `findings`, with places below `place`, and returns nullopt if there are any. Does not check
/// references.
std::optional<Record> ParseRecord(const nlohmann::json& value, const std::string& place,
                                  Findings& findings);

}  // namespace fireflyrun::records
