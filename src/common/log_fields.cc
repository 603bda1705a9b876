#include "common/log_fields.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace fireflyrun {
namespace {

constexpr std::size_t kMaxValueLength = 200;

bool IsPlain(char c) { return c > ' ' && c != '=' && c != '"' && c != '\\' && c != '\x7f'; }

void AppendName(std::string_view name, std::string* line) {
  line->push_back(' ');
  line->append(name);
  line->push_back('=');
}

void AppendEscaped(char c, std::string* line) {
  if (c == '"' || c == '\\') {
    line->push_back('\\');
    line->push_back(c);
  } else if (static_cast<unsigned char>(c) < ' ' || static_cast<unsigned char>(c) >= 0x7f) {
    fmt::format_to(std::back_inserter(*line), "\\u{:04x}", static_cast<unsigned char>(c));
  } else {
    line->push_back(c);
  }
}

}  // namespace

void AppendLogField(std::string_view name, std::string_view value, std::string* line) {
  AppendName(name, line);
  value = value.substr(0, kMaxValueLength);
  if (!value.empty() && std::all_of(value.begin(), value.end(), IsPlain)) {
    line->append(value);
    return;
  }
  line->push_back('"');
  for (const char c : value) AppendEscaped(c, line);
  line->push_back('"');
}

void AppendLogField(std::string_view name, std::int64_t value, std::string* line) {
  AppendName(name, line);
  fmt::format_to(std::back_inserter(*line), "{}", value);
}

void AppendLogField(std::string_view name, double value, std::string* line) {
  AppendName(name, line);
  fmt::format_to(std::back_inserter(*line), "{:.3f}", value);
}

}  // namespace fireflyrun
