#pragma once

#include <string>
#include <string_view>

#include "common/log_level.h"

namespace fireflyrun {

/// Starts logging to standard error, one record a line:
/// `TIME LEVEL node=NAME part=PART message`. Call once, before any record is written.
void InitializeLog(std::string_view node_name, LogLevel lowest_level);

/// Changes the lowest level that is written.
void SetLogLevel(LogLevel lowest_level);

/// Writes one record. `part` names the subsystem; `message` holds `key=value` pairs where it can.
void Log(LogLevel level, std::string_view part, std::string_view message);

/// True when records of `level` are written, so that callers can skip building a message.
bool LogEnabled(LogLevel level);

}  // namespace fireflyrun
