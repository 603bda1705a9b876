#include "tests/standins/caller_standin_mix.h"

#include <charconv>
#include <random>

#include "common/random.h"

namespace fireflyrun::standins {
namespace {

constexpr std::size_t kLeastFields = 4;
constexpr std::size_t kMostFields = 6;

std::vector<std::string_view> Split(std::string_view text, std::string_view separators) {
  std::vector<std::string_view> parts;
  while (true) {
    const std::size_t end = text.find_first_of(separators);
    parts.push_back(text.substr(0, end));
    if (end == std::string_view::npos) return parts;
    text.remove_prefix(end + 1);
  }
}

template <typename Number>
bool ReadNumber(std::string_view text, Number* out) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), *out);
  return error == std::errc{} && end == text.data() + text.size();
}

bool ReadEntry(std::string_view text, MixEntry* entry) {
  const auto fields = Split(text, ":");
  if (fields.size() < kLeastFields || fields.size() > kMostFields) return false;
  entry->label = fields[0];
  entry->method = fields[2];
  entry->path = fields[3];
  if (!ReadNumber(fields[1], &entry->weight) || entry->weight <= 0) return false;
  if (!entry->path.starts_with('/')) return false;
  if (fields.size() > 4 && !ReadNumber(fields[4], &entry->body_bytes)) return false;
  return fields.size() <= 5 || ReadNumber(fields[5], &entry->expected_children);
}

}  // namespace

tl::expected<Mix, Findings> ParseMix(std::string_view text, const std::string& place) {
  Mix mix;
  Findings findings;
  for (const std::string_view item : Split(text, ",\n")) {
    if (item.empty() || item.starts_with('#')) continue;
    MixEntry entry;
    if (ReadEntry(item, &entry)) {
      mix.push_back(std::move(entry));
    } else {
      findings.push_back({place, "\"" + std::string(item) +
                                     "\" is not LABEL:WEIGHT:METHOD:/PATH[:BYTES[:CHILDREN]]"});
    }
  }
  if (mix.empty() && findings.empty()) findings.push_back({place, "no entry"});
  if (!findings.empty()) return tl::make_unexpected(std::move(findings));
  return mix;
}

const MixEntry& Draw(const Mix& mix) {
  double total = 0;
  for (const MixEntry& entry : mix) total += entry.weight;
  double left = std::uniform_real_distribution<double>(0, total)(ThreadGenerator());
  for (const MixEntry& entry : mix) {
    left -= entry.weight;
    if (left < 0) return entry;
  }
  return mix.back();
}

}  // namespace fireflyrun::standins
