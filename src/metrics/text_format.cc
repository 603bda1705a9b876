#include "metrics/text_format.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace fireflyrun::metrics {
namespace {

constexpr std::size_t kMaxNumberLength = 32;

constexpr bool IsNameStart(char character) {
  return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
         character == '_';
}

constexpr bool IsNamePart(char character) {
  return IsNameStart(character) || (character >= '0' && character <= '9');
}

bool IsName(std::string_view name, bool colons) {
  if (name.empty()) return false;
  if (!IsNameStart(name.front()) && !(colons && name.front() == ':')) return false;
  return std::all_of(name.begin(), name.end(), [colons](char character) {
    return IsNamePart(character) || (colons && character == ':');
  });
}

void AppendEscaped(std::string_view text, bool escape_quotes, std::string* out) {
  for (const char character : text) {
    if (character == '\n') {
      out->append("\\n");
      continue;
    }
    if (character == '\\' || (escape_quotes && character == '"')) out->push_back('\\');
    out->push_back(character);
  }
}

void AppendLabels(const Labels& labels, std::string* out) {
  if (labels.empty()) return;
  char separator = '{';
  for (const Label& label : labels) {
    out->push_back(separator);
    out->append(label.name).append("=\"");
    AppendEscaped(label.value, true, out);
    out->push_back('"');
    separator = ',';
  }
  out->push_back('}');
}

void AppendLine(std::string_view name, const Labels& labels, std::string_view value,
                std::string* out) {
  out->append(name);
  AppendLabels(labels, out);
  out->append(" ").append(value).append("\n");
}

template <typename Number>
std::string FormatNumber(Number value) {
  std::array<char, kMaxNumberLength> text;
  const auto written = std::to_chars(text.data(), text.data() + text.size(), value);
  return {text.data(), written.ptr};
}

}  // namespace

bool IsMetricName(std::string_view name) { return IsName(name, true); }

bool IsLabelName(std::string_view name) { return IsName(name, false); }

void AppendMetadata(std::string_view name, std::string_view help, std::string_view type,
                    std::string* out) {
  out->append("# HELP ").append(name).append(" ");
  AppendEscaped(help, false, out);
  out->append("\n# TYPE ").append(name).append(" ").append(type).append("\n");
}

void AppendSample(std::string_view name, const Labels& labels, double value, std::string* out) {
  AppendLine(name, labels, FormatValue(value), out);
}

void AppendSample(std::string_view name, const Labels& labels, std::uint64_t value,
                  std::string* out) {
  AppendLine(name, labels, FormatNumber(value), out);
}

std::string FormatValue(double value) {
  if (std::isnan(value)) return "NaN";
  if (std::isinf(value)) return value > 0 ? "+Inf" : "-Inf";
  return FormatNumber(value);
}

}  // namespace fireflyrun::metrics
