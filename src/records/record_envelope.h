#pragma once

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace fireflyrun::records {

/// The value that the store keeps under a record's key: `{"write_id", "retired", "body"}`.
struct RecordEnvelope {
  std::string write_id;
  bool retired = false;
  std::string body;  ///< Canonical JSON text of the record.

  bool operator==(const RecordEnvelope&) const = default;
};

std::string EncodeEnvelope(const RecordEnvelope& envelope);

/// Reads what EncodeEnvelope() wrote; the error says what is wrong. Unknown fields are ignored, so
/// that a later build may add some.
tl::expected<RecordEnvelope, std::string> DecodeEnvelope(std::string_view value);

}  // namespace fireflyrun::records
