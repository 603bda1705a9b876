#include "cli/log_record.h"

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace fireflyrun::cli {
namespace {

constexpr std::string_view kFirstField = "ts=";
constexpr std::size_t kUnicodeDigits = 4;
constexpr int kHexBase = 16;

char UnescapeUnicode(std::string_view digits) {
  std::uint32_t code = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), code, kHexBase);
  return static_cast<char>(code);
}

/// Consumes a quoted value and its closing quote; `rest` begins after the opening quote.
std::string ConsumeQuotedValue(std::string_view* rest) {
  std::string value;
  while (!rest->empty() && rest->front() != '"') {
    const bool escaped = rest->front() == '\\' && rest->size() > 1;
    if (escaped) rest->remove_prefix(1);
    const bool unicode = escaped && rest->front() == 'u' && rest->size() > kUnicodeDigits;
    value += unicode ? UnescapeUnicode(rest->substr(1, kUnicodeDigits)) : rest->front();
    rest->remove_prefix(unicode ? 1 + kUnicodeDigits : 1);
  }
  if (!rest->empty()) rest->remove_prefix(1);
  return value;
}

std::string ConsumePlainValue(std::string_view* rest) {
  const auto end = std::min(rest->find(' '), rest->size());
  std::string value(rest->substr(0, end));
  rest->remove_prefix(end);
  return value;
}

}  // namespace

std::string_view LogRecord::Get(std::string_view name) const {
  for (const auto& [field, value] : this->fields) {
    if (field == name) return value;
  }
  return "";
}

std::optional<LogRecord> ParseLogRecord(std::string_view line) {
  auto start = line.find(kFirstField);
  while (start != std::string_view::npos && start > 0 && line[start - 1] != ' ') {
    start = line.find(kFirstField, start + 1);
  }
  if (start == std::string_view::npos) return std::nullopt;
  LogRecord record;
  record.text = std::string(line.substr(start));
  std::string_view rest = record.text;
  while (!rest.empty()) {
    if (rest.front() == ' ') {
      rest.remove_prefix(1);
      continue;
    }
    const auto equals = rest.find('=');
    if (equals == std::string_view::npos) break;
    std::string name(rest.substr(0, equals));
    rest.remove_prefix(equals + 1);
    const bool quoted = !rest.empty() && rest.front() == '"';
    if (quoted) rest.remove_prefix(1);
    record.fields.emplace_back(std::move(name),
                               quoted ? ConsumeQuotedValue(&rest) : ConsumePlainValue(&rest));
  }
  return record;
}

}  // namespace fireflyrun::cli
