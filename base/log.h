//===- log.h - Structured logging -------------------------------*- C++ -*-===//
//
// Writes one JSON object per line to standard output through Boost.Log, without
// ever waiting for its reader: lines that it does not read in time are dropped
// and counted. The log level can be changed at run time. Callers must not pass
// secrets.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_BASE_LOG_H
#define OLIVEVALVE_BASE_LOG_H

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace olivevalve {

enum class log_level : uint8_t { Debug, Info, Warning, Error };

/// One named value of a log line.
struct log_field {
  std::string_view Name;
  std::variant<std::string_view, int64_t, double> Value;
};

/// Identifies the process in each log line.
struct log_identity {
  std::string Node;
  std::string Roles;
  std::string DataHall;
};

/// Starts logging. Must be called once, at the start of the process.
void startLog(const log_identity &Identity, log_level Level);
/// Waits until all lines are written, for \p Seconds at most.
void flushLog(double Seconds);

/// What the log holds in memory and has lost.
struct log_state {
  uint64_t DroppedLines = 0;
  size_t HeldBytes = 0;
};
log_state logState();

void setLogLevel(log_level Level);

/// True if lines of \p Level are written. Lets callers skip building expensive
/// log lines.
bool logs(log_level Level);

/// The level called \p Name: "debug", "info", "warning" or "error";
/// std::nullopt for any other name.
std::optional<log_level> logLevelFromName(std::string_view Name);

/// Writes one line if \p Level is enabled. Time, node, role and data hall are
/// added to \p Fields.
void logLine(log_level Level, std::string_view Message,
             std::initializer_list<log_field> Fields = {});

} // namespace olivevalve

#endif // OLIVEVALVE_BASE_LOG_H
