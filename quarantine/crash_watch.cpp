//===- crash_watch.cpp - Which upstreams ended under which requests -------===//

#include "quarantine/crash_watch.h"
#include "base/clock.h"
#include "base/log.h"
#include <utility>

namespace olivevalve {

namespace {

// The list tells an end some seconds late.
constexpr double BrokenSeconds = 10;
// Of one upstream: more than it works on for one process.
constexpr size_t MostBroken = 512;
// Between two questions whether one upstream has ended.
constexpr double ProbeInterval = 0.3;

} // namespace

crash_watch::crash_watch(struct ev_loop *Loop, metrics &Metrics,
                         crash_reports &Reports)
    : Loop(Loop), Metrics(Metrics), Reports(Reports), Prepare(Loop, [this] {
        Probes.remove_if([](const end_probe &Each) { return Each.done(); });
      }) {}

void crash_watch::brokeOff(const watched_upstream &Upstream,
                           const short_digest &Request) {
  double Now = steadySeconds();
  forgetOld(Now);
  if (EndedAt.contains(Upstream.Place))
    return Reports.report({.Request = Request, .Upstream = Upstream.Place});
  std::deque<broken_request> &Requests = Broken[Upstream.Place].Requests;
  Requests.push_back({.Request = Request, .At = Now});
  if (Requests.size() > MostBroken)
    Requests.pop_front();
  probe(Upstream);
}

void crash_watch::probe(const watched_upstream &Upstream) {
  double Now = steadySeconds();
  double &ProbedAt = Broken[Upstream.Place].ProbedAt;
  if (ProbedAt > 0 && Now < ProbedAt + ProbeInterval)
    return;
  ProbedAt = Now;
  Probes.emplace_back(Loop, Upstream.Address, [this, Upstream](bool Refused) {
    if (!Refused || EndedAt.contains(Upstream.Place))
      return;
    ended(Upstream, "connection refused");
    if (OnEnded)
      OnEnded(Upstream);
  });
}

void crash_watch::ended(const watched_upstream &Upstream,
                        std::string_view How) {
  double Now = steadySeconds();
  auto It = Broken.find(Upstream.Place);
  std::deque<broken_request> Requests;
  if (It != Broken.end()) {
    Requests = std::move(It->second.Requests);
    Broken.erase(It);
  }
  if (EndedAt.try_emplace(Upstream.Place, Now).second) {
    Metrics.count("upstreams_ended", How);
    logLine(log_level::Info, "upstream has ended",
            {{"upstream", Upstream.Name},
             {"how", How},
             {"requests_broken_off", int64_t(Requests.size())}});
  }
  for (const broken_request &Each : Requests)
    if (Now < Each.At + BrokenSeconds)
      Reports.report({.Request = Each.Request, .Upstream = Upstream.Place});
}

void crash_watch::answers(uint64_t Place, double SentAt) {
  EndedAt.erase(Place);
  auto It = Broken.find(Place);
  if (It == Broken.end())
    return;
  std::deque<broken_request> &Requests = It->second.Requests;
  while (!Requests.empty() && Requests.front().At < SentAt)
    Requests.pop_front();
  if (Requests.empty())
    Broken.erase(It);
}

void crash_watch::forgetOld(double Now) {
  std::erase_if(Broken, [Now](const auto &Each) {
    const auto &Requests = Each.second.Requests;
    return Requests.empty() || Now >= Requests.back().At + BrokenSeconds;
  });
  std::erase_if(EndedAt, [Now](const auto &Each) {
    return Now >= Each.second + BrokenSeconds;
  });
}

} // namespace olivevalve
