//===- request_limit.cpp - Request limit that an upstream states ----------===//

#include "policy/request_limit.h"
#include <algorithm>

namespace olivevalve {

namespace {

// A report takes a while to arrive, so its times appear later than they were.
// It ends a limit only if it is newer by more than that.
constexpr double ReportDelaySeconds = 0.25;
// The end of a limit is reported for this long, in case reports are lost.
constexpr double EndReportSeconds = 5;

} // namespace

std::optional<double> request_limit::requestsPerSecond() const {
  return StatedAt > ClearedAt ? std::optional(Value) : std::nullopt;
}

limit_change request_limit::set(double RequestsPerSecond, double At,
                                double Now) {
  std::optional<double> Before = requestsPerSecond();
  Value = RequestsPerSecond;
  StatedAt = At;
  if (!Before) {
    BeganAt = Now;
    return limit_change::Began;
  }
  return *Before == Value ? limit_change::None : limit_change::Changed;
}

limit_change
request_limit::recordResponse(std::optional<double> RequestsPerSecond,
                              double SentAt, double Now) {
  if (RequestsPerSecond) {
    OwnStatement = true;
    return set(*RequestsPerSecond, Now, Now);
  }
  bool Limited = this->requestsPerSecond().has_value();
  ClearedAt = std::max(ClearedAt, SentAt);
  if (!Limited || this->requestsPerSecond())
    return limit_change::None;
  OwnEndAt = Now;
  return limit_change::Ended;
}

limit_change request_limit::recordReport(const limit_report &Report,
                                         double Now) {
  double At = Now - Report.AgeSeconds;
  if (Report.RequestsPerSecond) {
    if (At <= StatedAt || At <= ClearedAt)
      return limit_change::None;
    OwnStatement = false;
    return set(*Report.RequestsPerSecond, At, Now);
  }
  if (!requestsPerSecond() || At <= StatedAt + ReportDelaySeconds)
    return limit_change::None;
  ClearedAt = At;
  return limit_change::Ended;
}

std::optional<limit_report> request_limit::report(double Now) const {
  if (requestsPerSecond())
    return OwnStatement
               ? std::optional(limit_report{.RequestsPerSecond = Value,
                                            .AgeSeconds = Now - StatedAt})
               : std::nullopt;
  if (OwnEndAt > 0 && Now < OwnEndAt + EndReportSeconds)
    return limit_report{.AgeSeconds = Now - ClearedAt};
  return std::nullopt;
}

} // namespace olivevalve
