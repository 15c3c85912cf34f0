//===- crash_reports.cpp - Crash reports held by one process --------------===//

#include "quarantine/crash_reports.h"
#include "base/clock.h"
#include "base/log.h"
#include <utility>

namespace olivevalve {

namespace {

// Reports are sent to control for as long as they count: with each message
// until the leader has acknowledged them, then at a longer interval, as the
// leader may restart and lose them.
constexpr double ReportLifetimeSeconds = 600;
constexpr size_t MaxReports = 2048;
constexpr double ResendSeconds = 10;
// Each report is sent to other processes repeatedly for this time, as datagrams
// may be lost.
constexpr double RecentSeconds = 2;
// Reports in one message, at some 35 bytes each: a datagram holds 1,400.
constexpr int MaxPerDatagram = 20;
constexpr int MaxPerMessage = 200;

void fillReport(const crash_report &Report, wire::crash_report &Out) {
  fillName(Report.Request, *Out.mutable_request());
  Out.set_upstream(Report.Upstream);
}

} // namespace

void crash_reports::answered(const short_digest &Request) {
  double Now = steadySeconds();
  if (Evidence.recordResponse(Request, Now))
    clearSuspicion(Request, Now);
}

void crash_reports::report(const crash_report &Report) {
  double Now = steadySeconds();
  if (Evidence.answeredRecently(Report.Request, Now)) {
    // Other processes may not have received that it was answered here.
    return clearSuspicion(Report.Request, Now);
  }
  record(Report);
  Reports.push_back({.Report = Report, .SeenAt = Now});
  if (Reports.size() > MaxReports)
    Reports.pop_front();
  if (OnReport)
    OnReport();
}

void crash_reports::record(const crash_report &Report) {
  double Now = steadySeconds();
  if (Evidence.answeredRecently(Report.Request, Now))
    return clearSuspicion(Report.Request, Now);
  if (!Evidence.addCrash(Report, Now))
    return;
  size_t Crashes = Evidence.crashedUpstreams(Report.Request, Now).size();
  bool Refused = Crashes >= crash_evidence::CrashesToQuarantine;
  logLine(Refused ? log_level::Warning : log_level::Info,
          "upstream crashed while processing a request",
          {{"request", hexOf(Report.Request)},
           {"upstream_place", hexOf(Report.Upstream)},
           {"ends", int64_t(Crashes)},
           {"refused_from_now_on", int64_t(Refused)}});
}

void crash_reports::clearSuspicion(const short_digest &Request, double Now) {
  if (Cleared.size() < size_t(MaxPerMessage))
    Cleared[Request] = Now;
}

bool crash_reports::suspects(const short_digest &Request) const {
  return !Evidence.crashedUpstreams(Request, steadySeconds()).empty();
}

bool crash_reports::refuses(const short_digest &Request) const {
  double Now = steadySeconds();
  if (Evidence.shouldQuarantine(Request, Now))
    return true;
  return Quarantined.contains(Request) &&
         !Evidence.answeredRecently(Request, Now);
}

void crash_reports::forgetOld(double Now) {
  while (!Reports.empty() &&
         Now >= Reports.front().SeenAt + ReportLifetimeSeconds)
    Reports.pop_front();
  std::erase_if(Cleared, [Now](const auto &Each) {
    return Now >= Each.second + RecentSeconds;
  });
}

void crash_reports::fill(wire::crash_news &News, double SentAt) {
  double Now = steadySeconds();
  forgetOld(Now);
  News.set_quarantine_revision(Revision);
  for (auto It = Reports.rbegin();
       It != Reports.rend() && News.crashes_size() < MaxPerMessage; ++It) {
    if (It->AcknowledgedAt > 0 && Now < It->AcknowledgedAt + ResendSeconds)
      continue;
    if (!Evidence.crashedUpstreams(It->Report.Request, Now)
             .contains(It->Report.Upstream))
      continue;
    It->LastSentAt = SentAt;
    fillReport(It->Report, *News.add_crashes());
  }
  for (const auto &[Request, At] : Cleared)
    fillName(Request, *News.add_answered());
  for (const short_digest &Request : Quarantined)
    if (Evidence.answeredRecently(Request, Now))
      fillName(Request, *News.add_answered());
}

void crash_reports::acknowledged(double SentAt, uint64_t NewLeader) {
  bool LeaderChanged = std::exchange(Leader, NewLeader) != NewLeader;
  for (own_report &Each : Reports) {
    bool Received = Each.LastSentAt > 0 && Each.LastSentAt == SentAt;
    if (Received)
      Each.AcknowledgedAt = steadySeconds();
    else if (LeaderChanged)
      Each.AcknowledgedAt = 0;
  }
}

void crash_reports::fillRecent(wire::crash_news &News) const {
  double Now = steadySeconds();
  for (auto It = Reports.rbegin();
       It != Reports.rend() && Now < It->SeenAt + RecentSeconds &&
       News.crashes_size() < MaxPerDatagram;
       ++It)
    fillReport(It->Report, *News.add_crashes());
  for (const auto &[Request, At] : Cleared)
    if (Now < At + RecentSeconds && News.answered_size() < MaxPerDatagram)
      fillName(Request, *News.add_answered());
}

void crash_reports::hear(const wire::crash_news &News) {
  for (const wire::request_name &Name : News.answered())
    Evidence.recordResponse(digestOf(Name), steadySeconds());
  for (const wire::crash_report &Report : News.crashes())
    record(
        {.Request = digestOf(Report.request()), .Upstream = Report.upstream()});
}

// A request released from quarantine is judged only by what happens from now
// on.
void crash_reports::apply(const wire::quarantine_news &News) {
  if (News.revision() <= Revision)
    return;
  Revision = News.revision();
  std::set<short_digest> Before = std::exchange(Quarantined, {});
  for (const wire::quarantined_request &Each : News.requests()) {
    short_digest Request = digestOf(Each.request());
    Quarantined.insert(Request);
    if (!Before.contains(Request))
      logLine(log_level::Warning, "request quarantined",
              {{"request", hexOf(Request)},
               {"upstreams_ended", int64_t(Each.upstreams_size())}});
  }
  for (const short_digest &Request : Before)
    if (!Quarantined.contains(Request)) {
      Evidence.clear(Request);
      logLine(log_level::Warning, "request released from quarantine",
              {{"request", hexOf(Request)}});
    }
  Metrics.gauge("requests_quarantined", double(Quarantined.size()));
}

} // namespace olivevalve
