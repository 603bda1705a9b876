#include "http/request_target.h"

#include <algorithm>
#include <string>

namespace fireflyrun::http {
namespace {

constexpr std::string_view kTargetPunctuation = "-._~:/?@!$&'()*+,;=%";
constexpr std::string_view kServicePunctuation = "-_.";
constexpr std::size_t kEncodedBytes = 3;

constexpr bool IsLetterOrDigit(char character) {
  return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9');
}

constexpr bool IsHexDigit(char character) {
  return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f') ||
         (character >= 'A' && character <= 'F');
}

bool ConsistsOf(std::string_view text, std::string_view punctuation) {
  return std::all_of(text.begin(), text.end(), [punctuation](char character) {
    return IsLetterOrDigit(character) || punctuation.find(character) != std::string_view::npos;
  });
}

bool PercentEncodingIsComplete(std::string_view text) {
  for (std::size_t at = text.find('%'); at != std::string_view::npos; at = text.find('%', at + 1)) {
    if (at + kEncodedBytes > text.size()) return false;
    if (!IsHexDigit(text[at + 1]) || !IsHexDigit(text[at + 2])) return false;
  }
  return true;
}

bool IsDotSegment(std::string_view segment) {
  std::string decoded;
  while (!segment.empty()) {
    const bool encoded_dot = segment.starts_with("%2e") || segment.starts_with("%2E");
    decoded.push_back(encoded_dot ? '.' : segment.front());
    segment.remove_prefix(encoded_dot ? kEncodedBytes : 1);
  }
  return decoded == "." || decoded == "..";
}

bool HasDotSegment(std::string_view path) {
  while (!path.empty()) {
    const std::size_t slash = path.find('/');
    if (IsDotSegment(path.substr(0, slash))) return true;
    if (slash == std::string_view::npos) return false;
    path.remove_prefix(slash + 1);
  }
  return false;
}

}  // namespace

std::optional<RequestTarget> SplitTarget(std::string_view target) {
  if (!target.starts_with('/')) return std::nullopt;
  if (!ConsistsOf(target, kTargetPunctuation)) return std::nullopt;
  if (!PercentEncodingIsComplete(target)) return std::nullopt;

  RequestTarget parts;
  const std::size_t question = target.find('?');
  if (question != std::string_view::npos) parts.query = target.substr(question + 1);
  const std::string_view whole_path = target.substr(0, question);
  if (HasDotSegment(whole_path)) return std::nullopt;

  const std::size_t slash = whole_path.find('/', 1);
  parts.service = whole_path.substr(1, slash == std::string_view::npos ? slash : slash - 1);
  parts.path = slash == std::string_view::npos ? "/" : whole_path.substr(slash);
  if (parts.service.empty() || !ConsistsOf(parts.service, kServicePunctuation)) return std::nullopt;
  return parts;
}

}  // namespace fireflyrun::http
