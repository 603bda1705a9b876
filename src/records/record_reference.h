#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "records/record_kind.h"

namespace fireflyrun::records {

/// One record's mention of another.
struct RecordReference {
  RecordKind kind = RecordKind::kPriority;
  std::string name;
  std::string pointer;  ///< JSON pointer of the mention in the record's body, without leading "/".
};

/// The references in the body of a service or route, by the fields that all schemas share, so that
/// those of a schema that this build does not know are found too.
std::vector<RecordReference> FindReferences(RecordKind kind, std::string_view body);

}  // namespace fireflyrun::records
