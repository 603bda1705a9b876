#include "common/log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <chrono>
#include <csignal>
#include <memory>
#include <string>
#include <utility>

#include "common/log_fields.h"
#include "common/log_options.h"
#include "common/log_queue.h"
#include "common/non_blocking_output.h"

namespace fireflyrun {
namespace {

namespace sinks = boost::log::sinks;
using Logger = boost::log::sources::severity_logger<LogLevel>;

constexpr std::size_t kUsualLineLength = 512;
constexpr std::uint64_t kMicrosecondsPerSecond = 1'000'000;

/// All that the process knows about its log.
struct LogState {
  LogOptions options;
  LineLimit limit{LogOptions().lines_per_second};
  std::unique_ptr<LogQueue> queue;
  std::function<void()> flush_hook;
  bool flush_due = false;
  LogUrgency urgency = LogUrgency::kState;  ///< Of the record that is being written.
  std::string line;
  std::uint64_t last_second = 0;
  std::string last_second_text;
};

LogState& State() {
  static LogState state;
  return state;
}

/// Formatting the date is the dear part and changes once a second.
void AppendTime(LogState& state) {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  const auto microseconds = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count());
  const std::uint64_t second = microseconds / kMicrosecondsPerSecond;
  if (second != state.last_second || state.last_second_text.empty()) {
    state.last_second = second;
    state.last_second_text =
        fmt::format("{:%Y-%m-%dT%H:%M:%S}", fmt::gmtime(static_cast<std::time_t>(second)));
  }
  fmt::format_to(std::back_inserter(state.line), "ts={}.{:06}Z", state.last_second_text,
                 microseconds % kMicrosecondsPerSecond);
}

/// Takes the records of Boost.Log into the queue.
class QueueBackend : public sinks::basic_formatted_sink_backend<char, sinks::concurrent_feeding> {
 public:
  // NOLINTNEXTLINE(readability-identifier-naming): Boost.Log calls it by this name.
  static void consume(const boost::log::record_view& record, const std::string& text) {
    LogState& state = State();
    const auto level = record["Severity"].extract<LogLevel>();
    state.line.clear();
    AppendTime(state);
    AppendLogField("level", kLogLevelNames.NameOf(level ? level.get() : LogLevel::kInfo),
                   &state.line);
    AppendLogField("node", state.options.node, &state.line);
    state.line.push_back(' ');
    state.line.append(text);
    if (!state.queue->Append(state.line, state.urgency)) state.limit.CountLeftOut(state.urgency);
  }
};

Logger& SharedLogger() {
  static Logger logger;
  return logger;
}

void RequestFlush(LogState& state) {
  // A whole piece is written in the turn of the loop that there is anyway.
  const bool at_once = !state.flush_hook || state.queue->HasWholePiece();
  if (at_once && state.queue->Flush() && !state.limit.HasReport()) return;
  if (state.flush_hook && !std::exchange(state.flush_due, true)) state.flush_hook();
}

}  // namespace

void InitializeLog(const LogOptions& options) {
  std::signal(SIGPIPE, SIG_IGN);
  LogState& state = State();
  state.options = options;
  state.limit = LineLimit(options.lines_per_second);
  state.queue = std::make_unique<LogQueue>(std::make_unique<NonBlockingOutput>(options.descriptor));
  state.line.reserve(kUsualLineLength);
  const auto core = boost::log::core::get();
  core->remove_all_sinks();
  core->add_sink(boost::make_shared<sinks::unlocked_sink<QueueBackend>>());
}

bool LogEnabled(LogLevel level) {
  const LogState& state = State();
  return state.queue != nullptr && level >= state.options.lowest_level;
}

bool AdmitLogLine(LogUrgency urgency) {
  LogState& state = State();
  if (state.limit.Admit(urgency, SteadyClock::now())) return true;
  RequestFlush(state);  // So that what was left out is said in time.
  return false;
}

void SetLogLevel(LogLevel lowest_level) { State().options.lowest_level = lowest_level; }

void Log(LogLevel level, std::string_view part, std::string_view message) {
  if (!LogEnabled(level) || !AdmitLogLine(LogUrgency::kState)) return;
  WriteLogLine(level, LogUrgency::kState, fmt::format("part={} {}", part, message));
}

void WriteLogLine(LogLevel level, LogUrgency urgency, std::string_view text) {
  LogState& state = State();
  if (!state.queue) return;
  state.urgency = urgency;
  BOOST_LOG_SEV(SharedLogger(), level) << text;
  RequestFlush(state);
}

bool FlushLog() {
  LogState& state = State();
  state.flush_due = false;
  return !state.queue || state.queue->Flush();
}

void SetLogFlushHook(std::function<void()> hook) {
  State().flush_hook = std::move(hook);
  State().flush_due = false;
}

const LineLimit::Counts& LogLinesLeftOut() { return State().limit.LeftOut(); }

bool ReportLogLinesLeftOut() {
  LogState& state = State();
  const auto counts = state.limit.TakeReport(SteadyClock::now());
  std::uint64_t all = 0;
  for (const auto count : counts) all += count;
  if (all == 0) return state.limit.HasReport();
  // Outside the bound: it is what tells that the bound was reached.
  std::string text = "part=log event=left-out";
  for (const auto& [urgency, name] : kLogUrgencyNames.Entries()) {
    AppendLogField(name, static_cast<std::int64_t>(counts[static_cast<std::size_t>(urgency)]),
                   &text);
  }
  WriteLogLine(LogLevel::kWarning, LogUrgency::kState, text);
  return false;
}

}  // namespace fireflyrun
