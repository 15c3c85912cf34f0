//===- crash_watch.cpp - Which upstreams ended under which requests -------===//

#include "gateway/crash_watch.h"
#include "base/clock.h"
#include "base/log.h"
#include "wire/request_name.h"
#include <algorithm>

namespace olivevalve {

namespace {

// The list tells an end some seconds late.
constexpr double BrokenSeconds = 10;
// Of one upstream: more than it works on for one gateway.
constexpr size_t MostBroken = 512;
// Between two questions whether one upstream has ended.
constexpr double ProbeInterval = 0.3;
// Reports are told to control as long as they count, with each question until
// the leader has answered, then seldom: it may start anew.
constexpr double ReportSeconds = 600;
constexpr size_t MostReports = 2048;
constexpr double KnownInterval = 10;
// Other gateways are told each time for so long: datagrams may be lost.
constexpr double NewSeconds = 2;
// In one message, at some 35 bytes each: a datagram takes 1,400.
constexpr int MostInDatagram = 20;
constexpr int MostInAsk = 200;

void fillReport(const crash_report &Report, wire::crash_report &Out) {
  fillName(Report.Request, *Out.mutable_request());
  Out.set_upstream(Report.Upstream);
}

crash_report readReport(const wire::crash_report &Report) {
  return {.Request = digestOf(Report.request()), .Upstream = Report.upstream()};
}

} // namespace

crash_watch::crash_watch(struct ev_loop *Loop, metrics &Metrics)
    : Loop(Loop), Metrics(Metrics), Prepare(Loop, [this] {
        Probes.remove_if([](const end_probe &Each) { return Each.done(); });
      }) {}

void crash_watch::brokeOff(const std::shared_ptr<upstream> &Upstream,
                           const short_digest &Request) {
  if (Upstream->Ended)
    return report({.Request = Request, .Upstream = Upstream->Place});
  // One that was leaving ends as planned, with whatever it still has.
  if (Upstream->leaving())
    return;
  broken_upstream &Here = Broken[Upstream->Place];
  Here.Upstream = Upstream;
  Here.Requests.push_back({.Request = Request, .At = steadySeconds()});
  if (Here.Requests.size() > MostBroken)
    Here.Requests.pop_front();
  probe(Here);
}

void crash_watch::probe(broken_upstream &Here) {
  double Now = steadySeconds();
  if (Here.ProbedAt > 0 && Now < Here.ProbedAt + ProbeInterval)
    return;
  Here.ProbedAt = Now;
  std::shared_ptr<upstream> Upstream = Here.Upstream;
  Probes.emplace_back(Loop, Upstream->Listed.Address,
                      [this, Upstream](bool Refused) {
                        if (!Refused || Upstream->Ended)
                          return;
                        ended(*Upstream, "connection refused");
                        if (OnEnded)
                          OnEnded(*Upstream);
                      });
}

void crash_watch::ended(upstream &Upstream, std::string_view How) {
  auto It = Broken.find(Upstream.Place);
  size_t Under = It == Broken.end() ? 0 : It->second.Requests.size();
  if (!std::exchange(Upstream.Ended, true)) {
    Metrics.count("upstreams_ended", How);
    logLine(log_level::Info, "upstream has ended",
            {{"upstream", Upstream.Listed.Id},
             {"how", How},
             {"requests_broken_off", int64_t(Under)}});
  }
  if (It == Broken.end())
    return;
  broken_upstream Here = std::move(It->second);
  Broken.erase(It);
  double Now = steadySeconds();
  for (const broken_request &Each : Here.Requests)
    if (Now < Each.At + BrokenSeconds)
      report({.Request = Each.Request, .Upstream = Upstream.Place});
}

void crash_watch::answers(upstream &Upstream, double SentAt) {
  Upstream.Ended = false;
  auto It = Broken.find(Upstream.Place);
  if (It == Broken.end())
    return;
  std::deque<broken_request> &Requests = It->second.Requests;
  while (!Requests.empty() && Requests.front().At < SentAt)
    Requests.pop_front();
  if (Requests.empty())
    Broken.erase(It);
}

void crash_watch::answered(const short_digest &Request) {
  double Now = steadySeconds();
  if (Evidence.answered(Request, Now))
    acquit(Request, Now);
}

void crash_watch::report(const crash_report &Report) {
  double Now = steadySeconds();
  if (Evidence.answeredLately(Report.Request, Now)) {
    // Others may not know that it was answered here.
    return acquit(Report.Request, Now);
  }
  take(Report);
  Reports.push_back({.Report = Report, .SeenAt = Now});
  if (OnReport)
    OnReport();
  if (Reports.size() > MostReports)
    Reports.pop_front();
}

void crash_watch::take(const crash_report &Report) {
  double Now = steadySeconds();
  if (Evidence.answeredLately(Report.Request, Now))
    return acquit(Report.Request, Now);
  if (!Evidence.ended(Report, Now))
    return;
  size_t Ends = Evidence.endsUnder(Report.Request, Now).size();
  logLine(Ends < crash_evidence::EndsToConvict ? log_level::Info
                                               : log_level::Warning,
          "upstream ended under a request",
          {{"request", hexOf(Report.Request)},
           {"upstream_place", hexOf(Report.Upstream)},
           {"ends", int64_t(Ends)},
           {"refused_from_now_on",
            int64_t(Ends >= crash_evidence::EndsToConvict)}});
}

void crash_watch::acquit(const short_digest &Request, double Now) {
  if (Acquitted.size() < size_t(MostInAsk))
    Acquitted[Request] = Now;
}

bool crash_watch::suspects(const short_digest &Request) const {
  return !Evidence.endsUnder(Request, steadySeconds()).empty();
}

bool crash_watch::refuses(const short_digest &Request) const {
  double Now = steadySeconds();
  if (Evidence.convicted(Request, Now))
    return true;
  return Quarantined.contains(Request) &&
         !Evidence.answeredLately(Request, Now);
}

void crash_watch::forgetOld(double Now) {
  while (!Reports.empty() && Now >= Reports.front().SeenAt + ReportSeconds)
    Reports.pop_front();
  std::erase_if(Acquitted, [Now](const auto &Each) {
    return Now >= Each.second + NewSeconds;
  });
  std::erase_if(Broken, [Now](const auto &Each) {
    const auto &Requests = Each.second.Requests;
    return Requests.empty() || Now >= Requests.back().At + BrokenSeconds;
  });
}

void crash_watch::fill(wire::watch &Ask) {
  double Now = steadySeconds();
  forgetOld(Now);
  Ask.set_quarantine_revision(QuarantineRevision);
  for (auto It = Reports.rbegin();
       It != Reports.rend() && Ask.crashes_size() < MostInAsk; ++It) {
    if (It->KnownAt > 0 && Now < It->KnownAt + KnownInterval)
      continue;
    if (!Evidence.endsUnder(It->Report.Request, Now)
             .contains(It->Report.Upstream))
      continue;
    It->ToldAt = Ask.sent_at();
    fillReport(It->Report, *Ask.add_crashes());
  }
  for (const auto &[Request, At] : Acquitted)
    fillName(Request, *Ask.add_answered());
  for (const short_digest &Request : Quarantined)
    if (Evidence.answeredLately(Request, Now))
      fillName(Request, *Ask.add_answered());
}

void crash_watch::fill(wire::work_news &News) {
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

void crash_watch::hear(const wire::work_news &News) {
  for (const wire::request_name &Name : News.answered())
    Evidence.answered(digestOf(Name), steadySeconds());
  for (const wire::crash_report &Report : News.crashes())
    take(readReport(Report));
}

// The leader has what the question held that it answers.
void crash_watch::acknowledge(const wire::notice &Notice) {
  bool FromLeader = Notice.gateways_revision() > 0;
  if (!FromLeader)
    return;
  bool Another = std::exchange(Leader, Notice.leader()) != Notice.leader();
  for (own_report &Each : Reports) {
    bool Had = Each.ToldAt > 0 && Each.ToldAt == Notice.watch_sent_at();
    if (Had)
      Each.KnownAt = steadySeconds();
    else if (Another)
      Each.KnownAt = 0;
  }
}

// What is let go is judged anew, by what happens from now on.
void crash_watch::hear(const wire::notice &Notice) {
  acknowledge(Notice);
  if (Notice.quarantine_revision() <= QuarantineRevision)
    return;
  QuarantineRevision = Notice.quarantine_revision();
  std::set<short_digest> Before = std::move(Quarantined);
  Quarantined.clear();
  for (const wire::quarantined_request &Each : Notice.quarantined()) {
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
