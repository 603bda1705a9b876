#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "records/record_kind.h"

namespace fireflyrun::records {

/// One record's reference to another.
struct RecordReference {
  RecordKind kind = RecordKind::kPriority;
  std::string name;
  std::string pointer;  ///< JSON pointer of the reference in the body, without leading "/".
};

/// The references in the body of a service or route record. Reads only the fields that all schemas
/// share, so that it also works for schemas that this build does not support.
std::vector<RecordReference> FindReferences(RecordKind kind, std::string_view body);

}  // namespace fireflyrun::records
