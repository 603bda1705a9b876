#include "records/json_reader.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "records/record_checker.h"

namespace fireflyrun::records {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxPrintedBytes = 100;
constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

/// Builds a value from SAX events, which avoids recursion, and limits the nesting depth.
class JsonBuilder : public nlohmann::json_sax<Json> {
 public:
  JsonBuilder(std::string_view file, Findings& found, DeepValues deep)
      : root_place(std::string(file) + ":/"), findings(found), deep_values(deep) {}

  bool null() override { return this->Add(nullptr); }  // NOLINT(readability-identifier-naming)
  bool boolean(bool value) override {                  // NOLINT(readability-identifier-naming)
    return this->Add(value);
  }
  // NOLINTNEXTLINE(readability-identifier-naming)
  bool number_integer(std::int64_t value) override { return this->Add(value); }
  // NOLINTNEXTLINE(readability-identifier-naming)
  bool number_unsigned(std::uint64_t value) override { return this->Add(value); }
  // NOLINTNEXTLINE(readability-identifier-naming)
  bool number_float(double value, const std::string& /*text*/) override { return this->Add(value); }
  // NOLINTNEXTLINE(readability-identifier-naming)
  bool string(std::string& value) override { return this->Add(std::move(value)); }
  // NOLINTNEXTLINE(readability-identifier-naming)
  bool binary(Json::binary_t& /*value*/) override { return false; }
  // NOLINTNEXTLINE(readability-identifier-naming)
  bool start_object(std::size_t /*size*/) override { return this->Open(Json::object()); }
  // NOLINTNEXTLINE(readability-identifier-naming)
  bool start_array(std::size_t /*size*/) override { return this->Open(Json::array()); }
  bool end_object() override { return this->Close(); }  // NOLINT(readability-identifier-naming)
  bool end_array() override { return this->Close(); }   // NOLINT(readability-identifier-naming)

  bool key(std::string& name) override {  // NOLINT(readability-identifier-naming)
    if (this->dropped_levels > 0) return true;
    Frame& frame = this->frames.back();
    frame.key = name;
    if (frame.container->contains(name)) {
      this->Report("the field is given twice; allowed is once");
    }
    return true;
  }

  // NOLINTNEXTLINE(readability-identifier-naming)
  bool parse_error(std::size_t /*position*/, const std::string& /*last_token*/,
                   const nlohmann::detail::exception& error) override {
    std::string_view reason = error.what();
    const std::size_t prefix_end = reason.find("] ");
    if (prefix_end != std::string_view::npos) reason.remove_prefix(prefix_end + 2);
    this->Report("not readable as JSON (" + Printable(reason) + "); allowed is UTF-8 JSON text");
    return false;
  }

  Json TakeRoot() { return std::move(this->root); }

 private:
  struct Frame {
    Json* container = nullptr;
    std::string key;  ///< Of the field being read, in an object.
  };

  Json* Insert(Json value) {
    if (this->frames.empty()) {
      this->root = std::move(value);
      return &this->root;
    }
    Frame& frame = this->frames.back();
    if (frame.container->is_object()) {
      Json& slot = (*frame.container)[frame.key];
      slot = std::move(value);
      return &slot;
    }
    frame.container->push_back(std::move(value));
    return &frame.container->back();
  }

  bool Add(Json value) {
    if (this->dropped_levels == 0) this->Insert(std::move(value));
    return true;
  }

  bool Open(Json container) {
    const bool is_too_deep = this->frames.size() >= kMaxJsonDepth;
    if (is_too_deep && this->deep_values == DeepValues::kDropped) {
      if (this->dropped_levels == 0) this->Insert(nullptr);
      ++this->dropped_levels;
      return true;
    }
    if (is_too_deep) {
      this->Report("nested too deeply; allowed are " + std::to_string(kMaxJsonDepth) + " levels");
      return false;
    }
    this->frames.push_back(Frame{this->Insert(std::move(container)), {}});
    return true;
  }

  bool Close() {
    if (this->dropped_levels > 0) {
      --this->dropped_levels;
      return true;
    }
    this->frames.pop_back();
    return true;
  }

  void Report(std::string message) {
    std::string place = this->root_place;
    for (std::size_t depth = 0; depth < this->frames.size(); ++depth) {
      const Frame& frame = this->frames[depth];
      const bool is_innermost = depth + 1 == this->frames.size();
      if (frame.container->is_array()) {
        // An open container has already been added to the enclosing array.
        const std::size_t index = frame.container->size() - (is_innermost ? 0 : 1);
        place = ChildPlace(place, std::to_string(index));
      } else if (!frame.key.empty()) {
        place = ChildPlace(place, frame.key);
      }
    }
    if (this->findings.size() < kMaxFindings) {
      this->findings.push_back(Finding{std::move(place), std::move(message)});
    }
  }

  std::string root_place;
  Findings& findings;
  DeepValues deep_values;
  Json root;
  std::vector<Frame> frames;
  std::size_t dropped_levels = 0;  ///< Open containers that are dropped.
};

}  // namespace

std::string Printable(std::string_view text) {
  std::string printed(text.substr(0, kMaxPrintedBytes));
  const auto is_unprintable = [](char c) { return c < ' ' || c > '~'; };
  std::replace_if(printed.begin(), printed.end(), is_unprintable, '?');
  if (text.size() > kMaxPrintedBytes) printed += "...";
  return printed;
}

std::string ChildPlace(std::string_view place, std::string_view key) {
  std::string child(place);
  if (child.empty() || child.back() != '/') child += '/';
  for (const char c : Printable(key)) {
    if (c == '~') {
      child += "~0";
    } else if (c == '/') {
      child += "~1";
    } else {
      child += c;
    }
  }
  return child;
}

std::optional<Json> ReadJson(std::string_view file_name, std::string_view text, Findings& findings,
                             DeepValues deep_values) {
  const std::string root = std::string(file_name) + ":/";
  if (text.starts_with(kByteOrderMark)) {
    findings.push_back({root, "starts with a byte order mark; allowed is UTF-8 without one"});
    text.remove_prefix(kByteOrderMark.size());
  }
  if (text.find_first_not_of(" \t\r\n") == std::string_view::npos) {
    findings.push_back({root, "is empty; allowed is one record or a JSON array of records"});
    return std::nullopt;
  }
  JsonBuilder builder(file_name, findings, deep_values);
  if (!Json::sax_parse(text, &builder)) return std::nullopt;
  return builder.TakeRoot();
}

}  // namespace fireflyrun::records
