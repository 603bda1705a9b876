#include "common/log.h"

#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>

namespace fireflyrun {
namespace {

using Logger = boost::log::sources::severity_logger<LogLevel>;

LogLevel lowest_enabled_level = LogLevel::kInfo;

Logger& SharedLogger() {
  static Logger logger;
  return logger;
}

}  // namespace

void InitializeLog(std::string_view node_name, LogLevel lowest_level) {
  namespace expressions = boost::log::expressions;
  lowest_enabled_level = lowest_level;
  boost::log::core::get()->add_global_attribute("TimeStamp", boost::log::attributes::utc_clock());
  const std::string node(node_name);
  const auto formatter = [node](const boost::log::record_view& record,
                                boost::log::formatting_ostream& out) {
    const auto time = record["TimeStamp"].extract<boost::posix_time::ptime>();
    const auto level = record["Severity"].extract<LogLevel>();
    if (time) out << boost::posix_time::to_iso_extended_string(time.get()) << "Z ";
    if (level) out << kLogLevelNames.NameOf(level.get()) << ' ';
    out << "node=" << node << ' ' << record[expressions::smessage];
  };
  const auto sink = boost::log::add_console_log(std::clog);
  sink->set_formatter(formatter);
  sink->locked_backend()->auto_flush(true);
}

void SetLogLevel(LogLevel lowest_level) { lowest_enabled_level = lowest_level; }

void Log(LogLevel level, std::string_view part, std::string_view message) {
  if (!LogEnabled(level)) return;
  BOOST_LOG_SEV(SharedLogger(), level) << "part=" << part << ' ' << message;
}

bool LogEnabled(LogLevel level) { return level >= lowest_enabled_level; }

}  // namespace fireflyrun
