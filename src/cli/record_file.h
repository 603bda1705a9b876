#pragma once

#include <string>
#include <tl/expected.hpp>

#include "common/finding.h"

namespace fireflyrun::cli {

/// Reads a file of records, or standard input for "-". Reads no more of it than shows that it is
/// too large.
tl::expected<std::string, Finding> ReadRecordFile(const std::string& path);

}  // namespace fireflyrun::cli
