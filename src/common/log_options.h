#pragma once

#include <cstdint>
#include <string>

#include "common/log_level.h"

namespace fireflyrun {

struct LogOptions {
  std::string node;  ///< Named in each line.
  LogLevel lowest_level = LogLevel::kInfo;
  std::uint32_t lines_per_second = 200;
  int descriptor = 1;  ///< Standard output.
};

}  // namespace fireflyrun
