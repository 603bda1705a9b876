#include "records/record_key.h"

#include <algorithm>
#include <charconv>
#include <cstddef>

namespace fireflyrun::records {
namespace {

constexpr std::size_t kMaxNameLength = 63;

bool IsLowerLetter(char c) { return c >= 'a' && c <= 'z'; }

bool IsNameCharacter(char c) { return IsLowerLetter(c) || (c >= '0' && c <= '9') || c == '-'; }

std::optional<int> ParseSchema(std::string_view text) {
  if (text.size() < 2 || text[0] != 'v' || text[1] == '0') return std::nullopt;
  text.remove_prefix(1);
  int schema = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, schema);
  if (result.ec != std::errc() || result.ptr != end || schema < 1) return std::nullopt;
  return schema;
}

}  // namespace

bool IsRecordName(std::string_view name) {
  if (name.empty() || name.size() > kMaxNameLength || !IsLowerLetter(name[0])) return false;
  return std::all_of(name.begin(), name.end(), IsNameCharacter);
}

std::string FormatRecordKey(const RecordKey& key) {
  std::string text(kRecordKindNames.NameOf(key.kind));
  text += '/';
  text += key.name;
  text += "/v";
  text += std::to_string(key.schema);
  return text;
}

std::optional<RecordKey> ParseRecordKey(std::string_view text) {
  const std::size_t first = text.find('/');
  const std::size_t last = text.rfind('/');
  if (first == std::string_view::npos || first == last) return std::nullopt;
  const auto kind = kRecordKindNames.ValueOf(text.substr(0, first));
  const std::string_view name = text.substr(first + 1, last - first - 1);
  const auto schema = ParseSchema(text.substr(last + 1));
  if (!kind || !schema || !IsRecordName(name)) return std::nullopt;
  return RecordKey{*kind, std::string(name), *schema};
}

}  // namespace fireflyrun::records
