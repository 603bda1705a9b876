#pragma once

#include <functional>
#include <string_view>

#include "common/line_limit.h"
#include "common/log_level.h"
#include "common/log_urgency.h"

namespace fireflyrun {

struct LogOptions;

/// Starts logging to standard output, one record a line in logfmt:
/// `ts=TIME level=LEVEL node=NAME part=PART event=EVENT key=value ...`. Call once, before any
/// record is written. Logging is done on the thread of the event loop alone. From here on SIGPIPE
/// is ignored: a reader of the log that goes away must not end the process.
void InitializeLog(const LogOptions& options);

/// Changes the lowest level that is written.
void SetLogLevel(LogLevel lowest_level);

/// True when records of `level` are written, so that callers can skip building a message.
bool LogEnabled(LogLevel level);

/// Whether another line of this urgency is within the bound of this second; counts it if not.
bool AdmitLogLine(LogUrgency urgency);

/// Writes one record of the process's state. `part` names the subsystem; `message` is
/// `event=EVENT key=value ...`. LogEvent is the way for new code.
void Log(LogLevel level, std::string_view part, std::string_view message);

/// Puts a record that was admitted on its way. `text` begins with `part=`.
void WriteLogLine(LogLevel level, LogUrgency urgency, std::string_view text);

/// Writes what standard output takes now. True when nothing is left.
bool FlushLog();

/// `hook` is called when lines wait that no flush is due for. Null: each line is written at once.
void SetLogFlushHook(std::function<void()> hook);

/// Lines left out since the start, by urgency.
const LineLimit::Counts& LogLinesLeftOut();

/// Says in a line how many lines were left out, if any and not said within the last second. True
/// while some are still unsaid.
bool ReportLogLinesLeftOut();

}  // namespace fireflyrun
