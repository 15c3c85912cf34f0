//===- log.h - Structured logs ----------------------------------*- C++ -*-===//
//
// One JSON object a line on standard output through Boost.Log. The level can
// change while the process runs. Secrets are never passed to these functions.
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

/// Who writes the lines; set once at start.
struct log_identity {
  std::string Node;
  std::string Roles;
  std::string DataHall;
};

void startLog(const log_identity &Identity, log_level Level);
void setLogLevel(log_level Level);

/// True if lines of \p Level are written; for lines that cost to make.
bool logs(log_level Level);

/// The level called \p Name: "debug", "info", "warning" or "error".
std::optional<log_level> logLevelFromName(std::string_view Name);

void logLine(log_level Level, std::string_view Message,
             std::initializer_list<log_field> Fields = {});

} // namespace olivevalve

#endif // OLIVEVALVE_BASE_LOG_H
