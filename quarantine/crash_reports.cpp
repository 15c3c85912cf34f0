//===- crash_reports.cpp - What one process knows of such requests --------===//

#include "quarantine/crash_reports.h"
#include "base/clock.h"
#include "base/log.h"
#include <utility>

namespace olivevalve {

namespace {

// Reports are told to control as long as they count, with each message until
// the leader has answered, then seldom: it may start anew.
constexpr double ReportSeconds = 600;
constexpr size_t MostReports = 2048;
constexpr double KnownInterval = 10;
// Other processes are told each time for so long: datagrams may be lost.
constexpr double NewSeconds = 2;
// In one message, at some 35 bytes each: a datagram takes 1,400.
constexpr int MostInDatagram = 20;
constexpr int MostInMessage = 200;

void fillReport(const crash_report &Report, wire::crash_report &Out) {
  fillName(Report.Request, *Out.mutable_request());
  Out.set_upstream(Report.Upstream);
}

} // namespace

void crash_reports::answered(const short_digest &Request) {
  double Now = steadySeconds();
  if (Evidence.answered(Request, Now))
    acquit(Request, Now);
}

void crash_reports::report(const crash_report &Report) {
  double Now = steadySeconds();
  if (Evidence.answeredLately(Report.Request, Now)) {
    // Others may not know that it was answered here.
    return acquit(Report.Request, Now);
  }
  take(Report);
  Reports.push_back({.Report = Report, .SeenAt = Now});
  if (Reports.size() > MostReports)
    Reports.pop_front();
  if (OnReport)
    OnReport();
}

void crash_reports::take(const crash_report &Report) {
  double Now = steadySeconds();
  if (Evidence.answeredLately(Report.Request, Now))
    return acquit(Report.Request, Now);
  if (!Evidence.ended(Report, Now))
    return;
  size_t Ends = Evidence.endsUnder(Report.Request, Now).size();
  bool Refused = Ends >= crash_evidence::EndsToConvict;
  logLine(Refused ? log_level::Warning : log_level::Info,
          "upstream ended under a request",
          {{"request", hexOf(Report.Request)},
           {"upstream_place", hexOf(Report.Upstream)},
           {"ends", int64_t(Ends)},
           {"refused_from_now_on", int64_t(Refused)}});
}

void crash_reports::acquit(const short_digest &Request, double Now) {
  if (Acquitted.size() < size_t(MostInMessage))
    Acquitted[Request] = Now;
}

bool crash_reports::suspects(const short_digest &Request) const {
  return !Evidence.endsUnder(Request, steadySeconds()).empty();
}

bool crash_reports::refuses(const short_digest &Request) const {
  double Now = steadySeconds();
  if (Evidence.convicted(Request, Now))
    return true;
  return Quarantined.contains(Request) &&
         !Evidence.answeredLately(Request, Now);
}

void crash_reports::forgetOld(double Now) {
  while (!Reports.empty() && Now >= Reports.front().SeenAt + ReportSeconds)
    Reports.pop_front();
  std::erase_if(Acquitted, [Now](const auto &Each) {
    return Now >= Each.second + NewSeconds;
  });
}

void crash_reports::fill(wire::crash_news &News, double SentAt) {
  double Now = steadySeconds();
  forgetOld(Now);
  News.set_quarantine_revision(Revision);
  for (auto It = Reports.rbegin();
       It != Reports.rend() && News.crashes_size() < MostInMessage; ++It) {
    if (It->KnownAt > 0 && Now < It->KnownAt + KnownInterval)
      continue;
    if (!Evidence.endsUnder(It->Report.Request, Now)
             .contains(It->Report.Upstream))
      continue;
    It->ToldAt = SentAt;
    fillReport(It->Report, *News.add_crashes());
  }
  for (const auto &[Request, At] : Acquitted)
    fillName(Request, *News.add_answered());
  for (const short_digest &Request : Quarantined)
    if (Evidence.answeredLately(Request, Now))
      fillName(Request, *News.add_answered());
}

void crash_reports::acknowledged(double SentAt, uint64_t NewLeader) {
  bool Another = std::exchange(Leader, NewLeader) != NewLeader;
  for (own_report &Each : Reports) {
    bool Had = Each.ToldAt > 0 && Each.ToldAt == SentAt;
    if (Had)
      Each.KnownAt = steadySeconds();
    else if (Another)
      Each.KnownAt = 0;
  }
}

void crash_reports::fillNew(wire::crash_news &News) const {
  double Now = steadySeconds();
  for (auto It = Reports.rbegin();
       It != Reports.rend() && Now < It->SeenAt + NewSeconds &&
       News.crashes_size() < MostInDatagram;
       ++It)
    fillReport(It->Report, *News.add_crashes());
  for (const auto &[Request, At] : Acquitted)
    if (Now < At + NewSeconds && News.answered_size() < MostInDatagram)
      fillName(Request, *News.add_answered());
}

void crash_reports::hear(const wire::crash_news &News) {
  for (const wire::request_name &Name : News.answered())
    Evidence.answered(digestOf(Name), steadySeconds());
  for (const wire::crash_report &Report : News.crashes())
    take(
        {.Request = digestOf(Report.request()), .Upstream = Report.upstream()});
}

// What is let go is judged anew, by what happens from now on.
void crash_reports::hear(const wire::quarantine_news &News) {
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
      Evidence.forget(Request);
      logLine(log_level::Warning, "request let out of quarantine",
              {{"request", hexOf(Request)}});
    }
  Metrics.gauge("requests_quarantined", double(Quarantined.size()));
}

} // namespace olivevalve
