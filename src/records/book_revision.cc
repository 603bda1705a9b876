#include "records/book_revision.h"

#include <charconv>
#include <system_error>

namespace fireflyrun::records {

std::string FormatRevision(const BookRevision& revision) {
  return std::to_string(revision.number) + revision.rest;
}

std::optional<BookRevision> ParseRevision(std::string_view text) {
  std::int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, number);
  if (result.ec != std::errc()) return std::nullopt;
  std::string rest(result.ptr, end);
  const bool has_separator = rest.starts_with('.') || rest.starts_with(':');
  if (!rest.empty() && !has_separator) return std::nullopt;
  return BookRevision(number, std::move(rest));
}

}  // namespace fireflyrun::records
