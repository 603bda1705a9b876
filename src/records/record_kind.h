#pragma once

#include <array>
#include <string_view>
#include <utility>

#include "common/enum_names.h"

namespace fireflyrun::records {

/// What a record describes.
enum class RecordKind {
  kService,         ///< A service: its priority, retry allowance and deadline.
  kPriority,        ///< A call class, and in which order it is shed.
  kRetryAllowance,  ///< Bounds on retries.
  kRoute,           ///< Calls by host and path prefix, and the services that handle them.
  kLimits,          ///< Limits on callers' requests.
};

inline constexpr EnumNames kRecordKindNames(std::array{
    std::pair{RecordKind::kService, std::string_view("service")},
    std::pair{RecordKind::kPriority, std::string_view("priority")},
    std::pair{RecordKind::kRetryAllowance, std::string_view("retry_allowance")},
    std::pair{RecordKind::kRoute, std::string_view("route")},
    std::pair{RecordKind::kLimits, std::string_view("limits")},
});

/// The highest schema of `kind` that this build supports; schemas are numbered from 1.
constexpr int HighestSchema(RecordKind kind) {
  if (kind == RecordKind::kService) return 3;
  return kind == RecordKind::kRoute ? 3 : 1;
}

}  // namespace fireflyrun::records
