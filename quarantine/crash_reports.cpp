//===- crash_reports.cpp - Crash reports held by one process --------------===//

#include "quarantine/crash_reports.h"
#include "base/clock.h"
#include "base/log.h"
#include <algorithm>
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
// For how long control is told that a cause kept back a request.
constexpr double WantedSeconds = 1;
constexpr int MaxWanted = 20;
// For how long a process may make its trial: requests that are kept back come
// at least every WantedSeconds when it is granted, and upstreams may be down.
constexpr double TrialSeconds = 5;

void fillReport(const crash_report &Report, double Now,
                wire::crash_report &Out) {
  fillName(Report.Cause, *Out.mutable_request());
  Out.set_upstream(Report.Upstream);
  if (Report.Kind == crash_cause_kind::Request)
    return;
  Out.set_kind(wire::CRASH_CAUSE_BLOCK);
  Out.set_under(Report.Request);
  Out.set_sent_age(float(Now - Report.SentAt));
  Out.set_crash_age(float(Now - Report.CrashedAt));
  Out.set_share(float(Report.Share));
  Out.set_begun(Report.Begun);
  Out.mutable_company()->set_requests(Report.Company.Requests);
  Out.mutable_company()->set_begun(Report.Company.Begun);
}

crash_cause_kind kindOf(wire::crash_cause Kind) {
  return Kind == wire::CRASH_CAUSE_BLOCK ? crash_cause_kind::Block
                                         : crash_cause_kind::Request;
}

} // namespace

void crash_reports::received(const request_causes &Causes) {
  Shares.record(Causes.Service, Causes.Blocks, steadySeconds());
}

double crash_reports::shareOf(uint64_t Service,
                              const short_digest &Block) const {
  return Shares.share(Service, Block, steadySeconds());
}

void crash_reports::answered(const short_digest &Request) {
  double Now = steadySeconds();
  if (Evidence.recordResponse(Request, Now))
    noteClearance(Request, crash_cause_kind::Request, Now);
}

void crash_reports::survived(const std::vector<short_digest> &Blocks,
                             double BegunAt) {
  for (const short_digest &Block : Blocks)
    if (Evidence.recordSurvival(Block, BegunAt))
      noteClearance(Block, crash_cause_kind::Block, steadySeconds());
}

void crash_reports::report(const crash_report &Report) {
  double Now = steadySeconds();
  bool IsBlock = Report.Kind == crash_cause_kind::Block;
  if (Evidence.isCleared(Report.Cause, IsBlock ? Report.CrashedAt : Now)) {
    // Other processes may not have received that it was cleared here.
    return noteClearance(Report.Cause, Report.Kind, Now);
  }
  // Many requests with the same block may be interrupted by one crash.
  bool IsKnown =
      IsBlock &&
      Evidence.crashedUpstreams(Report.Cause, Now).contains(Report.Upstream);
  if (IsKnown)
    return markBegun(Report);
  record(Report);
  Reports.push_back({.Report = Report, .SeenAt = Now});
  if (Reports.size() > MaxReports)
    Reports.pop_front();
  if (OnReport)
    OnReport();
}

// A further request with a block that this crash is blamed on already.
void crash_reports::markBegun(const crash_report &Report) {
  for (auto It = Reports.rbegin(); Report.Begun && It != Reports.rend(); ++It)
    if (It->Report.Cause == Report.Cause &&
        It->Report.Upstream == Report.Upstream) {
      It->Report.Begun = true;
      It->AcknowledgedAt = 0;
      return;
    }
}

void crash_reports::record(const crash_report &Report) {
  double Now = steadySeconds();
  if (Evidence.isCleared(Report.Cause, Report.Kind == crash_cause_kind::Block
                                           ? Report.CrashedAt
                                           : Now))
    return noteClearance(Report.Cause, Report.Kind, Now);
  if (!Evidence.addCrash(Report, Now))
    return;
  size_t Crashes = Evidence.crashedUpstreams(Report.Cause, Now).size();
  bool Refused = Evidence.shouldQuarantine(Report.Cause, Now);
  logLine(Refused ? log_level::Warning : log_level::Info,
          "upstream crashed while processing a request",
          {{"request", hexOf(Report.Cause)},
           {"kind", nameOf(Report.Kind)},
           {"upstream_place", hexOf(Report.Upstream)},
           {"ends", int64_t(Crashes)},
           {"refused_from_now_on", int64_t(Refused)}});
}

void crash_reports::noteClearance(const short_digest &Cause,
                                  crash_cause_kind Kind, double Now) {
  if (Cleared.size() < size_t(MaxPerMessage))
    Cleared[Cause] = {.Kind = Kind, .At = Now};
}

void crash_reports::fillClearance(const short_digest &Cause,
                                  crash_cause_kind Kind, double Now,
                                  wire::crash_news &News) const {
  if (Kind == crash_cause_kind::Request)
    return fillName(Cause, *News.add_answered());
  std::optional<double> Until = Evidence.clearedUntil(Cause);
  if (!Until)
    return;
  wire::block_survival *Survival = News.add_survivals();
  fillName(Cause, *Survival->mutable_block());
  Survival->set_begun_age(float(Now - *Until));
}

bool crash_reports::suspects(const short_digest &Request) const {
  return !Evidence.crashedUpstreams(Request, steadySeconds()).empty();
}

bool crash_reports::isCleared(const short_digest &Cause,
                              const quarantined_cause &Entry,
                              double Now) const {
  bool IsBlock = Entry.Kind == crash_cause_kind::Block;
  return Evidence.isCleared(Cause, IsBlock ? Entry.LastCrashAt : Now);
}

bool crash_reports::refuses(const short_digest &Cause) const {
  double Now = steadySeconds();
  if (Evidence.shouldQuarantine(Cause, Now))
    return true;
  auto It = Quarantined.find(Cause);
  return It != Quarantined.end() && !isCleared(Cause, It->second, Now);
}

std::vector<short_digest>
crash_reports::refusedCauses(const request_causes &Causes) const {
  std::vector<short_digest> Refused;
  if (refuses(Causes.Request))
    Refused.push_back(Causes.Request);
  for (const short_digest &Block : Causes.Blocks)
    if (refuses(Block))
      Refused.push_back(Block);
  return Refused;
}

// With two quarantined causes a trial could not tell which one to release.
send_permission crash_reports::permissionFor(const request_causes &Causes) {
  std::vector<short_digest> Refused = refusedCauses(Causes);
  if (Refused.empty())
    return send_permission::Granted;
  Metrics.count("requests_kept_back", nameOf(Refused.front() == Causes.Request
                                                 ? crash_cause_kind::Request
                                                 : crash_cause_kind::Block));
  auto It = Quarantined.find(Refused.front());
  if (Refused.size() > 1 || It == Quarantined.end())
    return send_permission::Refused;
  double Now = steadySeconds();
  Wanted[It->first] = Now;
  return Now < It->second.MayTryUntil ? send_permission::Trial
                                      : send_permission::Refused;
}

void crash_reports::beginTrial(const request_causes &Causes) {
  for (const short_digest &Cause : refusedCauses(Causes)) {
    Quarantined[Cause].MayTryUntil = 0;
    logLine(log_level::Warning, "request sent on trial",
            {{"request", hexOf(Causes.Request)},
             {"cause", hexOf(Cause)},
             {"trial", int64_t(Quarantined[Cause].Trials)}});
  }
}

void crash_reports::forgetOld(double Now) {
  while (!Reports.empty() &&
         Now >= Reports.front().SeenAt + ReportLifetimeSeconds)
    Reports.pop_front();
  std::erase_if(Cleared, [Now](const auto &Each) {
    return Now >= Each.second.At + RecentSeconds;
  });
  std::erase_if(Wanted, [Now](const auto &Each) {
    return Now >= Each.second + WantedSeconds;
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
    if (!Evidence.crashedUpstreams(It->Report.Cause, Now)
             .contains(It->Report.Upstream))
      continue;
    It->LastSentAt = SentAt;
    fillReport(It->Report, Now, *News.add_crashes());
  }
  for (const auto &[Cause, Each] : Cleared)
    fillClearance(Cause, Each.Kind, Now, News);
  for (const auto &[Cause, Entry] : Quarantined)
    if (isCleared(Cause, Entry, Now))
      fillClearance(Cause, Entry.Kind, Now, News);
  for (const auto &[Cause, At] : Wanted)
    if (News.wanted_size() < MaxWanted)
      fillName(Cause, *News.add_wanted());
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

// Blocks are judged by control only, so peers need not be told of them.
void crash_reports::fillRecent(wire::crash_news &News) const {
  double Now = steadySeconds();
  for (auto It = Reports.rbegin();
       It != Reports.rend() && Now < It->SeenAt + RecentSeconds &&
       News.crashes_size() < MaxPerDatagram;
       ++It)
    if (It->Report.Kind == crash_cause_kind::Request)
      fillReport(It->Report, Now, *News.add_crashes());
  for (const auto &[Cause, Each] : Cleared)
    if (Each.Kind == crash_cause_kind::Request &&
        Now < Each.At + RecentSeconds && News.answered_size() < MaxPerDatagram)
      fillName(Cause, *News.add_answered());
}

void crash_reports::hear(const wire::crash_news &News) {
  for (const wire::request_name &Name : News.answered())
    Evidence.recordResponse(digestOf(Name), steadySeconds());
  for (const wire::crash_report &Report : News.crashes())
    if (Report.kind() == wire::CRASH_CAUSE_REQUEST)
      record(
          {.Cause = digestOf(Report.request()), .Upstream = Report.upstream()});
}

// A cause released from quarantine is judged only by what happens from now on.
void crash_reports::release(const short_digest &Cause, crash_cause_kind Kind) {
  Evidence.clear(Cause);
  logLine(log_level::Warning, "request released from quarantine",
          {{"request", hexOf(Cause)}, {"kind", nameOf(Kind)}});
}

void crash_reports::apply(const wire::quarantine_news &News) {
  if (News.revision() <= Revision)
    return;
  Revision = News.revision();
  double Now = steadySeconds();
  std::map<short_digest, quarantined_cause> Before =
      std::exchange(Quarantined, {});
  for (const wire::quarantined_request &Each : News.requests()) {
    short_digest Cause = digestOf(Each.request());
    auto Known = Before.find(Cause);
    bool IsNew = Known == Before.end();
    quarantined_cause &Entry = Quarantined[Cause];
    Entry = IsNew ? quarantined_cause{.Kind = kindOf(Each.kind()),
                                      .LastCrashAt = Now - Each.crash_age()}
                  : Known->second;
    if (Each.trials() > Entry.Trials && Each.trial_holder() == Incarnation)
      Entry.MayTryUntil = Now + TrialSeconds;
    Entry.Trials = Each.trials();
    if (IsNew)
      logLine(log_level::Warning, "request quarantined",
              {{"request", hexOf(Cause)},
               {"kind", nameOf(Entry.Kind)},
               {"upstreams_ended", int64_t(Each.upstreams_size())}});
  }
  for (const auto &[Cause, Entry] : Before)
    if (!Quarantined.contains(Cause))
      release(Cause, Entry.Kind);
  Metrics.gauge("requests_quarantined", double(Quarantined.size()));
}

} // namespace olivevalve
