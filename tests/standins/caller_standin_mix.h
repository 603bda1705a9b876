#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "common/finding.h"

namespace fireflyrun::standins {

/// One kind of request that a caller sends.
struct MixEntry {
  std::string label;
  double weight = 1;
  std::string method = "GET";
  std::string path = "/";
  std::size_t body_bytes = 0;
  std::size_t expected_children = 0;  ///< Answers of downstream calls, counted over all depths.
};

using Mix = std::vector<MixEntry>;

/// Reads entries `LABEL:WEIGHT:METHOD:/PATH[:BODY_BYTES[:EXPECTED_CHILDREN]]` that are separated by
/// commas or line ends; empty lines and lines that begin with `#` are skipped. Findings name
/// `place`.
tl::expected<Mix, Findings> ParseMix(std::string_view text, const std::string& place);

/// A random entry, by weight.
const MixEntry& Draw(const Mix& mix);

}  // namespace fireflyrun::standins
