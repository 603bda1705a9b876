#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace fireflyrun {

/// Appends ` name=value` in logfmt. The value is quoted, with the escapes of JSON, where it is
/// empty or holds anything but printable characters other than space, `=`, `"` and `\`. A long
/// value is cut.
void AppendLogField(std::string_view name, std::string_view value, std::string* line);
void AppendLogField(std::string_view name, std::int64_t value, std::string* line);
/// With three decimals.
void AppendLogField(std::string_view name, double value, std::string* line);

}  // namespace fireflyrun
