#pragma once

#include <optional>
#include <string_view>

namespace fireflyrun::http {

/// The parts of a request target. The views point into the text given to SplitTarget().
struct RequestTarget {
  std::string_view service;  ///< First path segment: letters, digits, `-`, `_` and `.`.
  std::string_view path;     ///< The rest of the path, undecoded; "/" when there is none.
  std::string_view query;    ///< Without its "?"; empty when there is none.
};

/// Splits an origin-form target, such as `/proclaim/filings?x=1`. Gives nullopt for any other form,
/// for characters that RFC 3986 does not allow, for an incomplete percent-encoding, and for dot
/// segments, encoded ones too: a target that resolves them would see another path than the records
/// were matched with.
std::optional<RequestTarget> SplitTarget(std::string_view target);

}  // namespace fireflyrun::http
