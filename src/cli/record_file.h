#pragma once

#include <string>
#include <tl/expected.hpp>

#include "common/finding.h"

namespace fireflyrun::cli {

/// Reads a file of records, or standard input for "-". Reads at most one byte more than the size
/// limit, so that the record checker can detect an oversized file.
tl::expected<std::string, Finding> ReadRecordFile(const std::string& path);

}  // namespace fireflyrun::cli
