//===- crash_watch.cpp - Relates crashes to requests ----------------------===//

#include "quarantine/crash_watch.h"
#include "base/clock.h"
#include "base/log.h"
#include <utility>

namespace olivevalve {

namespace {

// How long interrupted requests are kept: the list shows a crash some seconds
// late.
constexpr double InterruptedSeconds = 10;
// Per upstream: more requests than it processes for one process.
constexpr size_t MaxInterruptedPerUpstream = 512;
// Minimum interval between probes of one upstream.
constexpr double ProbeIntervalSeconds = 0.3;

} // namespace

crash_watch::crash_watch(struct ev_loop *Loop, metrics &Metrics,
                         crash_reports &Reports)
    : Metrics(Metrics), Reports(Reports), Probes(Loop) {}

void crash_watch::recordInterruptedRequest(const watched_upstream &Upstream,
                                           interrupted_request Request) {
  double Now = steadySeconds();
  forgetOld(Now);
  Request.At = Now;
  if (CrashedAt.contains(Upstream.Key))
    return report(Upstream, Request, {.Requests = 1, .Begun = Request.Begun});
  std::deque<interrupted_request> &Requests = Suspected[Upstream.Key].Requests;
  Requests.push_back(std::move(Request));
  if (Requests.size() > MaxInterruptedPerUpstream)
    Requests.pop_front();
  probe(Upstream);
}

void crash_watch::probe(const watched_upstream &Upstream) {
  double Now = steadySeconds();
  double &ProbedAt = Suspected[Upstream.Key].ProbedAt;
  if (ProbedAt > 0 && Now < ProbedAt + ProbeIntervalSeconds)
    return;
  ProbedAt = Now;
  Probes.start(
      {.Address = Upstream.Address}, [this, Upstream](probe_result Result) {
        if (Result != probe_result::Refused || CrashedAt.contains(Upstream.Key))
          return;
        recordCrash(Upstream, "connection refused");
        if (OnCrash)
          OnCrash(Upstream);
      });
}

void crash_watch::recordCrash(const watched_upstream &Upstream,
                              std::string_view How) {
  double Now = steadySeconds();
  auto It = Suspected.find(Upstream.Key);
  std::deque<interrupted_request> Requests;
  if (It != Suspected.end()) {
    Requests = std::move(It->second.Requests);
    Suspected.erase(It);
  }
  if (CrashedAt.try_emplace(Upstream.Key, Now).second) {
    Metrics.count("upstreams_ended", How);
    logLine(log_level::Info, "upstream terminated",
            {{"upstream", Upstream.Name},
             {"how", How},
             {"requests_broken_off", int64_t(Requests.size())}});
  }
  std::erase_if(Requests, [Now](const interrupted_request &Each) {
    return Now >= Each.At + InterruptedSeconds;
  });
  crash_company Company{.Requests = 0};
  for (const interrupted_request &Each : Requests) {
    bool MayBeToBlame = !Each.Causes.Blocks.empty();
    Company.Requests += MayBeToBlame;
    Company.Begun += MayBeToBlame && Each.Begun;
  }
  for (const interrupted_request &Each : Requests)
    report(Upstream, Each, Company);
}

void crash_watch::report(const watched_upstream &Upstream,
                         const interrupted_request &Request,
                         const crash_company &Company) {
  const short_digest &Name = Request.Causes.Request;
  Reports.report({.Cause = Name, .Upstream = Upstream.Key});
  for (const short_digest &Block : Request.Causes.Blocks)
    Reports.report({.Cause = Block,
                    .Upstream = Upstream.Key,
                    .Kind = crash_cause_kind::Block,
                    .Request = Name[0],
                    .SentAt = Request.SentAt,
                    .CrashedAt = Request.At,
                    .Share = Reports.shareOf(Request.Causes.Service, Block),
                    .Begun = Request.Begun,
                    .Company = Company});
}

void crash_watch::recordResponse(uint64_t Key, double SentAt) {
  CrashedAt.erase(Key);
  auto It = Suspected.find(Key);
  if (It == Suspected.end())
    return;
  std::deque<interrupted_request> &Requests = It->second.Requests;
  while (!Requests.empty() && Requests.front().At < SentAt)
    Requests.pop_front();
  if (Requests.empty())
    Suspected.erase(It);
}

void crash_watch::forgetOld(double Now) {
  std::erase_if(Suspected, [Now](const auto &Each) {
    const auto &Requests = Each.second.Requests;
    return Requests.empty() || Now >= Requests.back().At + InterruptedSeconds;
  });
  std::erase_if(CrashedAt, [Now](const auto &Each) {
    return Now >= Each.second + InterruptedSeconds;
  });
}

} // namespace olivevalve
