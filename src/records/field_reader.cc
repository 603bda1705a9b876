#include "records/field_reader.h"

#include <fmt/format.h>

#include <utility>

#include "records/json_reader.h"
#include "records/record_key.h"

namespace fireflyrun::records {
namespace {

using Json = nlohmann::json;

/// Limits the findings about one object, since a file can contain very many unknown fields.
constexpr std::size_t kMaxUnknownFields = 50;

constexpr std::string_view kNameRule =
    "a name of 1 to 63 characters: a lower-case letter, then lower-case letters, digits and \"-\"";

std::string Describe(const Json& value) {
  if (value.is_structured()) return value.is_array() ? "an array" : "an object";
  return Printable(value.dump(-1, ' ', true, Json::error_handler_t::replace));
}

/// The value as an integer, if it is an integer that fits into 64 bits.
std::optional<std::int64_t> AsInteger(const Json& value) {
  if (!value.is_number_integer()) return std::nullopt;
  if (value.is_number_unsigned() && value.get<std::uint64_t>() > INT64_MAX) return std::nullopt;
  return value.get<std::int64_t>();
}

}  // namespace

FieldReader::FieldReader(const Json& object_value, std::string object_place, Findings& found)
    : object(object_value), place(std::move(object_place)), findings(found) {}

std::string FieldReader::PlaceOf(std::string_view field) const {
  return ChildPlace(this->place, field);
}

void FieldReader::Report(std::string_view field, std::string message) {
  this->findings.push_back(Finding{this->PlaceOf(field), std::move(message)});
}

const Json* FieldReader::Get(std::string_view field, Presence presence, std::string_view allowed) {
  this->known_fields.emplace(field);
  const auto found = this->object.find(std::string(field));
  if (found != this->object.end()) return &*found;
  if (presence == Presence::kRequired) {
    this->Report(field, fmt::format("is missing; allowed is {}", allowed));
  }
  return nullptr;
}

std::optional<std::string> FieldReader::Text(std::string_view field, Presence presence) {
  const Json* value = this->Get(field, presence, "a string");
  if (value == nullptr) return std::nullopt;
  if (value->is_string()) return value->get<std::string>();
  this->Report(field, fmt::format("is {}; allowed is a string", Describe(*value)));
  return std::nullopt;
}

std::optional<std::string> FieldReader::Name(std::string_view field, Presence presence) {
  const Json* value = this->Get(field, presence, kNameRule);
  if (value == nullptr) return std::nullopt;
  if (value->is_string() && IsRecordName(value->get_ref<const std::string&>())) {
    return value->get<std::string>();
  }
  this->Report(field, fmt::format("is {}; allowed is {}", Describe(*value), kNameRule));
  return std::nullopt;
}

std::optional<bool> FieldReader::Boolean(std::string_view field, Presence presence) {
  const Json* value = this->Get(field, presence, "true or false");
  if (value == nullptr) return std::nullopt;
  if (value->is_boolean()) return value->get<bool>();
  this->Report(field, fmt::format("is {}; allowed is true or false", Describe(*value)));
  return std::nullopt;
}

std::optional<std::int64_t> FieldReader::Integer(std::string_view field, std::int64_t lowest,
                                                 std::int64_t highest, Presence presence) {
  const std::string allowed = fmt::format("a whole number from {} to {}", lowest, highest);
  const Json* value = this->Get(field, presence, allowed);
  if (value == nullptr) return std::nullopt;
  const auto number = AsInteger(*value);
  if (number && *number >= lowest && *number <= highest) return number;
  this->Report(field, fmt::format("is {}; allowed is {}", Describe(*value), allowed));
  return std::nullopt;
}

std::optional<std::chrono::milliseconds> FieldReader::Milliseconds(std::string_view field,
                                                                   std::int64_t lowest,
                                                                   std::int64_t highest,
                                                                   Presence presence) {
  const auto number = this->Integer(field, lowest, highest, presence);
  if (!number) return std::nullopt;
  return std::chrono::milliseconds(*number);
}

std::optional<double> FieldReader::Number(std::string_view field, double lowest, double highest) {
  const std::string allowed = fmt::format("a number from {} to {}", lowest, highest);
  const Json* value = this->Get(field, Presence::kRequired, allowed);
  if (value == nullptr) return std::nullopt;
  if (value->is_number()) {
    const auto number = value->get<double>();
    if (number >= lowest && number <= highest) return number;
  }
  this->Report(field, fmt::format("is {}; allowed is {}", Describe(*value), allowed));
  return std::nullopt;
}

const Json* FieldReader::Array(std::string_view field, Presence presence) {
  const Json* value = this->Get(field, presence, "an array");
  if (value == nullptr || value->is_array()) return value;
  this->Report(field, fmt::format("is {}; allowed is an array", Describe(*value)));
  return nullptr;
}

void FieldReader::RejectUnknownFields() {
  std::string allowed;
  for (const std::string& field : this->known_fields) {
    if (!allowed.empty()) allowed += ", ";
    allowed += field;
  }
  std::size_t reported = 0;
  for (const auto& [field, value] : this->object.items()) {
    if (this->known_fields.contains(field)) continue;
    this->Report(field, "is no field here; allowed are " + allowed);
    if (++reported == kMaxUnknownFields) return;
  }
}

}  // namespace fireflyrun::records
