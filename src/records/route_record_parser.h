#pragma once

#include <optional>
#include <string_view>

#include "common/finding.h"
#include "records/record_key.h"
#include "records/route_record.h"
#include "records/route_selector.h"

namespace fireflyrun::records {

class FieldReader;

/// Reads the fields of a route record and reports invalid ones.
RouteRecord ParseRouteRecord(FieldReader& reader, const RecordKey& key, Findings& findings);

/// Which calls the body of a route record selects, whatever else is in it and whatever its schema;
/// nullopt if that can't be read.
std::optional<RouteSelector> ReadRouteSelector(std::string_view body);

/// The lowest schema that expresses `route`.
int LowestRouteSchema(const RouteRecord& route);

}  // namespace fireflyrun::records
