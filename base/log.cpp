//===- log.cpp - Structured logging ---------------------------------------===//

#include "base/log.h"
#include "base/clock.h"
#include "boost/log/core.hpp"
#include "boost/log/expressions.hpp"
#include "boost/log/sources/logger.hpp"
#include "boost/log/sources/record_ostream.hpp"
#include "boost/log/utility/setup/console.hpp"
#include "nlohmann/json.hpp"
#include <array>
#include <iostream>

namespace olivevalve {

namespace {

constexpr std::array<std::string_view, 4> LevelNames = {"debug", "info",
                                                        "warning", "error"};
log_identity Identity;
log_level Threshold = log_level::Info;

} // namespace

void startLog(const log_identity &NewIdentity, log_level Level) {
  Identity = NewIdentity;
  Threshold = Level;
  namespace expr = boost::log::expressions;
  boost::log::add_console_log(
      std::cout, boost::log::keywords::format = expr::stream << expr::smessage,
      boost::log::keywords::auto_flush = true);
}

void setLogLevel(log_level Level) { Threshold = Level; }

bool logs(log_level Level) { return Level >= Threshold; }

std::optional<log_level> logLevelFromName(std::string_view Name) {
  for (size_t I = 0; I < LevelNames.size(); ++I)
    if (LevelNames[I] == Name)
      return log_level(I);
  return std::nullopt;
}

void logLine(log_level Level, std::string_view Message,
             std::initializer_list<log_field> Fields) {
  if (!logs(Level))
    return;
  nlohmann::json Line;
  Line["time"] = wallSeconds();
  Line["level"] = LevelNames[size_t(Level)];
  Line["node"] = Identity.Node;
  Line["role"] = Identity.Roles;
  Line["data_hall"] = Identity.DataHall;
  Line["message"] = Message;
  for (const log_field &Field : Fields)
    std::visit(
        [&](const auto &Value) { Line[std::string(Field.Name)] = Value; },
        Field.Value);
  static boost::log::sources::logger Logger;
  BOOST_LOG(Logger) << Line.dump(-1, ' ', false,
                                 nlohmann::json::error_handler_t::replace);
}

} // namespace olivevalve
