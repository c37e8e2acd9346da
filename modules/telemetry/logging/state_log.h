#pragma once

#include <string>
#include <vector>

namespace dotterellug {

enum class LogSeverity { kDebug, kInfo, kWarning, kError };

struct LogField {
  std::string name;
  std::string value;
};

struct LogOptions {
  // One JSON object a line instead of text.
  bool json = false;
  LogSeverity level = LogSeverity::kInfo;
  // Added to each line.
  std::string instance;
};

// Sets up Boost.Log to write to standard error. Call once at start.
auto InitializeLog(const LogOptions& options) -> void;

// Writes one line about a change of state, such as a new revision in force or
// an upstream that went down. Frequent events are counted in Metrics instead.
auto LogState(LogSeverity severity, const std::string& message,
              const std::vector<LogField>& fields = {}) -> void;

// The line that LogState writes, for tests.
auto FormatLogLine(const LogOptions& options, LogSeverity severity,
                   const std::string& time, const std::string& message,
                   const std::vector<LogField>& fields) -> std::string;

}  // namespace dotterellug
