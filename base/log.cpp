//===- log.cpp - Structured logging ---------------------------------------===//

#include "base/log.h"
#include "base/clock.h"
#include "base/log_writer.h"
#include "boost/log/core.hpp"
#include "boost/log/expressions.hpp"
#include "boost/log/sinks/basic_sink_backend.hpp"
#include "boost/log/sinks/unlocked_frontend.hpp"
#include "boost/log/sources/record_ostream.hpp"
#include "boost/log/sources/severity_logger.hpp"
#include "boost/make_shared.hpp"
#include "nlohmann/json.hpp"
#include <array>

namespace olivevalve {

namespace {

namespace sinks = boost::log::sinks;

constexpr std::array<std::string_view, 4> LevelNames = {"debug", "info",
                                                        "warning", "error"};
log_identity Identity;
log_level Threshold = log_level::Info;
/// Null: the log was not started, and Boost.Log writes lines to the console.
log_writer *Writer = nullptr;

/// Passes records to the writer.
class writer_backend
    : public sinks::basic_sink_backend<sinks::concurrent_feeding> {
public:
  void consume(const boost::log::record_view &Record) {
    namespace expr = boost::log::expressions;
    auto Level = boost::log::extract<log_level>("Severity", Record);
    auto Line = Record[expr::smessage];
    bool IsMinor = Level && *Level < log_level::Warning;
    if (Line)
      Writer->write(IsMinor ? log_importance::Minor : log_importance::Major,
                    *Line);
  }
};

void write(log_level Level, std::string_view Message,
           std::initializer_list<log_field> Fields) {
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
  static boost::log::sources::severity_logger<log_level> Logger;
  BOOST_LOG_SEV(Logger, Level)
      << Line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

void startLog(const log_identity &NewIdentity, log_level Level) {
  Identity = NewIdentity;
  Threshold = Level;
  Writer = &log_writer::start();
  boost::log::core::get()->add_sink(
      boost::make_shared<sinks::unlocked_sink<writer_backend>>());
}

void flushLog(double Seconds) {
  if (Writer)
    Writer->flush(Seconds);
}

log_state logState() {
  if (!Writer)
    return {};
  return {.DroppedLines = Writer->dropped(), .HeldBytes = Writer->heldBytes()};
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
  if (uint64_t Lines = Writer ? Writer->takeDropped() : 0)
    write(log_level::Warning, "log lines were dropped: they were not read",
          {{"lines", int64_t(Lines)}});
  write(Level, Message, Fields);
}

} // namespace olivevalve
