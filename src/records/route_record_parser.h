#pragma once

#include "common/finding.h"
#include "records/record_key.h"
#include "records/route_record.h"

namespace fireflyrun::records {

class FieldReader;

/// Reads the fields of a route record and reports invalid ones.
RouteRecord ParseRouteRecord(FieldReader& reader, const RecordKey& key, Findings& findings);

}  // namespace fireflyrun::records
