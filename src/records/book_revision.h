#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace fireflyrun::records {

/// Orders record books; books of equal revision are equal. A source whose versions aren't whole
/// numbers of 63 bits orders those of one number by `rest`, byte by byte.
struct BookRevision {
  BookRevision() = default;
  /// Most sources have whole numbers only.
  BookRevision(std::int64_t whole) : number(whole) {}  // NOLINT(google-explicit-constructor)
  BookRevision(std::int64_t whole, std::string more) : number(whole), rest(std::move(more)) {}

  // clang-tidy mistakes the comparison's literal zero for a null pointer.
  auto operator<=>(const BookRevision&) const = default;  // NOLINT(modernize-use-nullptr)

  std::int64_t number = 0;  ///< 0 for the empty book.
  std::string rest;         ///< Empty for a whole number of 63 bits.
};

/// The number, followed by the rest.
std::string FormatRevision(const BookRevision& revision);

/// The inverse of FormatRevision().
std::optional<BookRevision> ParseRevision(std::string_view text);

}  // namespace fireflyrun::records
