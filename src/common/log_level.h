#pragma once

#include <array>
#include <string_view>
#include <utility>

#include "common/enum_names.h"

namespace fireflyrun {

/// Severity of a log record, least severe first.
enum class LogLevel { kDebug, kInfo, kWarning, kError };

inline constexpr EnumNames kLogLevelNames(std::array{
    std::pair{LogLevel::kDebug, std::string_view("debug")},
    std::pair{LogLevel::kInfo, std::string_view("info")},
    std::pair{LogLevel::kWarning, std::string_view("warning")},
    std::pair{LogLevel::kError, std::string_view("error")},
});

}  // namespace fireflyrun
