#pragma once

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "common/finding.h"

namespace fireflyrun::records {

/// Whether a field is required.
enum class Presence { kRequired, kOptional };

/// Reads the fields of one JSON object and reports missing, unknown and invalid ones. The reading
/// methods return nullopt for a reported field and for an absent optional one.
class FieldReader {
 public:
  /// `object_value` must be a JSON object and must outlive the reader.
  FieldReader(const nlohmann::json& object_value, std::string object_place, Findings& found);

  std::optional<std::string> Text(std::string_view field, Presence presence);
  /// A record's name.
  std::optional<std::string> Name(std::string_view field, Presence presence);
  std::optional<bool> Boolean(std::string_view field, Presence presence);
  std::optional<std::int64_t> Integer(std::string_view field, std::int64_t lowest,
                                      std::int64_t highest, Presence presence);
  std::optional<std::chrono::milliseconds> Milliseconds(std::string_view field, std::int64_t lowest,
                                                        std::int64_t highest, Presence presence);
  std::optional<double> Number(std::string_view field, double lowest, double highest);
  /// Null when the field is absent or isn't an array.
  const nlohmann::json* Array(std::string_view field, Presence presence);

  /// Reports the fields that no method of the reader has read.
  void RejectUnknownFields();

  void Report(std::string_view field, std::string message);
  std::string PlaceOf(std::string_view field) const;

 private:
  const nlohmann::json* Get(std::string_view field, Presence presence, std::string_view allowed);

  const nlohmann::json& object;
  std::string place;
  Findings& findings;
  std::set<std::string, std::less<>> known_fields;
};

}  // namespace fireflyrun::records
