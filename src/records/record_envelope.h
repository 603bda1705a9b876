#pragma once

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace fireflyrun::records {

/// The value stored under a record's key: `{"write_id", "retired", "body"}`.
struct RecordEnvelope {
  std::string write_id;
  bool retired = false;
  std::string body;  ///< Canonical JSON text of the record.

  bool operator==(const RecordEnvelope&) const = default;
};

std::string EncodeEnvelope(const RecordEnvelope& envelope);

/// The inverse of EncodeEnvelope(), or an error text. Unknown fields are ignored, since later
/// builds may add some.
tl::expected<RecordEnvelope, std::string> DecodeEnvelope(std::string_view value);

}  // namespace fireflyrun::records
