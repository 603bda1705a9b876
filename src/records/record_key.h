#pragma once

#include <compare>
#include <optional>
#include <string>
#include <string_view>

#include "records/record_kind.h"

namespace fireflyrun::records {

/// Identifies one record. One name can have records of several schemas at the same time.
struct RecordKey {
  RecordKind kind = RecordKind::kService;
  std::string name;
  int schema = 1;

  // clang-tidy mistakes the comparison's literal zero for a null pointer.
  auto operator<=>(const RecordKey&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// `KIND/NAME/vSCHEMA`.
std::string FormatRecordKey(const RecordKey& key);

/// The inverse of FormatRecordKey(); accepts schemas that this build does not support.
std::optional<RecordKey> ParseRecordKey(std::string_view text);

/// True for `[a-z][a-z0-9-]{0,62}`.
bool IsRecordName(std::string_view name);

}  // namespace fireflyrun::records
