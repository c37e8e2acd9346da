#include "telemetry/logging/state_log.h"

#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string_view>

#include "core/time/time.h"

namespace dotterellug {
namespace {

namespace log = boost::log;

auto CurrentOptions() -> LogOptions& {
  static LogOptions options;
  return options;
}

auto SeverityName(LogSeverity severity) -> std::string_view {
  switch (severity) {
    case LogSeverity::kDebug:
      return "debug";
    case LogSeverity::kInfo:
      return "info";
    case LogSeverity::kWarning:
      return "warning";
    case LogSeverity::kError:
      return "error";
  }
  return "error";
}

// Texts of others may not be UTF-8, for which dump() throws otherwise.
template <class Json>
auto ToText(const Json& json) -> std::string {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

auto JsonLine(const LogOptions& options, LogSeverity severity,
              const std::string& time, const std::string& message,
              const std::vector<LogField>& fields) -> std::string {
  nlohmann::ordered_json line;
  line["time"] = time;
  line["level"] = SeverityName(severity);
  line["instance"] = options.instance;
  line["message"] = message;
  for (const auto& field : fields) line[field.name] = field.value;
  return ToText(line);
}

}  // namespace

auto InitializeLog(const LogOptions& options) -> void {
  CurrentOptions() = options;
  using Backend = log::sinks::text_ostream_backend;
  const auto backend = boost::make_shared<Backend>();
  backend->add_stream(
      boost::shared_ptr<std::ostream>(&std::cerr, [](std::ostream*) {}));
  backend->auto_flush(true);
  log::core::get()->remove_all_sinks();
  log::core::get()->add_sink(
      boost::make_shared<log::sinks::synchronous_sink<Backend>>(backend));
}

auto FormatLogLine(const LogOptions& options, LogSeverity severity,
                   const std::string& time, const std::string& message,
                   const std::vector<LogField>& fields) -> std::string {
  if (options.json) return JsonLine(options, severity, time, message, fields);
  std::string line = time + " " + std::string(SeverityName(severity)) + " " +
                     options.instance + " " + message;
  for (const auto& field : fields) {
    line += " " + field.name + "=" + ToText(nlohmann::json(field.value));
  }
  return line;
}

auto LogState(LogSeverity severity, const std::string& message,
              const std::vector<LogField>& fields) -> void {
  const auto& options = CurrentOptions();
  if (severity < options.level) return;
  log::sources::logger_mt logger;
  BOOST_LOG(logger) << FormatLogLine(
      options, severity, FormatWallTime(WallNow()), message, fields);
}

}  // namespace dotterellug
