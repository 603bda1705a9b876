#pragma once

#include <cstddef>
#include <string_view>

namespace fireflyrun::http {

inline constexpr int kLowestStatus = 100;
inline constexpr int kHighestStatus = 599;

/// Checks the status line of an answer while its bytes arrive: `HTTP/1.N`, a space, three digits,
/// and then a space or the end of the line. http_parser and libcurl take other numbers of digits.
class StatusLineCheck {
 public:
  /// False once the bytes can't be a status line. Line breaks before it, and all after the byte
  /// that follows the three digits, are passed over.
  bool Consume(std::string_view bytes);

  /// True once the status and the byte after it were read.
  bool Complete() const { return this->complete; }

  /// What the three digits say.
  int Status() const { return this->status; }

 private:
  bool Take(char byte);

  std::size_t taken = 0;
  int status = 0;
  bool complete = false;
};

/// True for a whole status line with a status from 100 to 599.
bool IsStatusLine(std::string_view line);

}  // namespace fireflyrun::http
