#include "http/status_line.h"

namespace fireflyrun::http {
namespace {

constexpr std::string_view kBeforeMinorVersion = "HTTP/1.";
constexpr std::size_t kMinorVersionAt = kBeforeMinorVersion.size();
constexpr std::size_t kSpaceAt = kMinorVersionAt + 1;
constexpr std::size_t kEnd = kSpaceAt + 4;

constexpr bool IsDigit(char character) { return character >= '0' && character <= '9'; }

constexpr bool IsLineEnd(char character) { return character == '\r' || character == '\n'; }

}  // namespace

bool StatusLineCheck::Consume(std::string_view bytes) {
  for (const char byte : bytes) {
    if (this->complete) return true;
    if (!this->Take(byte)) return false;
  }
  return true;
}

bool StatusLineCheck::Take(char byte) {
  if (this->taken == 0 && IsLineEnd(byte)) return true;
  const std::size_t at = this->taken++;
  if (at < kMinorVersionAt) return byte == kBeforeMinorVersion[at];
  if (at == kMinorVersionAt) return IsDigit(byte);
  if (at == kSpaceAt) return byte == ' ';
  if (at == kEnd) {
    this->complete = byte == ' ' || IsLineEnd(byte);
    return this->complete;
  }
  this->status = this->status * 10 + (byte - '0');
  return IsDigit(byte);
}

bool IsStatusLine(std::string_view line) {
  StatusLineCheck check;
  if (!check.Consume(line) || !check.Complete()) return false;
  return check.Status() >= kLowestStatus && check.Status() <= kHighestStatus;
}

}  // namespace fireflyrun::http
