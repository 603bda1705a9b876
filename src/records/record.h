#pragma once

#include <string>
#include <variant>

#include "records/limits_record.h"
#include "records/priority_record.h"
#include "records/record_key.h"
#include "records/retry_allowance_record.h"
#include "records/route_record.h"
#include "records/service_record.h"

namespace fireflyrun::records {

using TypedRecord =
    std::variant<ServiceRecord, PriorityRecord, RetryAllowanceRecord, RouteRecord, LimitsRecord>;

/// One valid record.
struct Record {
  RecordKey key;
  TypedRecord content;
  std::string body;  ///< Canonical JSON text: sorted fields, no white space.
};

}  // namespace fireflyrun::records
