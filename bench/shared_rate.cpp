//===- shared_rate.cpp - Requests of many gateways under a shared bound ---===//

#include "policy/shared_rate.h"
#include "bench/bench.h"
#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>
#include <random>

namespace olivevalve {

namespace {

/// An upstream that takes few requests, and the traffic that prefers it.
struct bounded_upstream {
  const char *Name;
  double RequestsPerSecond;
  shared_bound Bound;
  double Seconds; ///< Length of a run.
};

// Rate of requests for which some gateway prefers the upstream: it has few
// requests and looks best to all of them.
constexpr double ArrivalsPerSecond = 200;
constexpr double StepSeconds = 0.002;
constexpr double ChangeAt = 3; ///< Second at which half of the gateways start.
// Time until the gateways that already run receive the new list of gateways.
constexpr double UpdateDelaySeconds = 0.6;
constexpr size_t GatewayCounts[] = {3, 30, 300, 410};
constexpr shared_bound LimitBound{
    .Ratio = 1.5, .Slack = 5, .WindowSeconds = 4, .ProbePart = 0.1};
constexpr bounded_upstream Upstreams[] = {
    {"cold, 18/s", 18, {.Ratio = 1.5, .Slack = 5}, 8},
    {"limit 0.5/s", 0.5, LimitBound, 40},
    {"limit 1.7/s", 1.7, LimitBound, 40},
    {"limit 5/s", 5, LimitBound, 40},
    {"limit 50/s", 50, LimitBound, 40},
};

/// How gateways share the rate.
enum class share_policy : uint8_t { Unbounded, ByCount, Permits, ByRank };
constexpr std::string_view PolicyNames[] = {"no bound", "equal share",
                                            "owner's permits", "share by rank"};

struct simulated_gateway {
  gateway_group Before; ///< In use until the update about the change arrives.
  gateway_group After;
  double StartsAt = -RestartDelaySeconds;
  request_pacer Pacer;

  double gapAt(double Now, const bounded_upstream &Upstream,
               share_policy Policy) const {
    bool HasOldList = StartsAt <= 0 && Now < ChangeAt + UpdateDelaySeconds;
    const gateway_group &Group = HasOldList ? Before : After;
    double Rate = Upstream.RequestsPerSecond;
    if (Policy == share_policy::ByRank)
      return std::min(shareGap(Rate, Upstream.Bound, Group),
                      probeGap(Rate, Upstream.Bound, Group.Gateways));
    double GapOfAll = shareGap(Rate, Upstream.Bound, {.Gateways = 1});
    return Policy == share_policy::Permits ? GapOfAll
                                           : GapOfAll * double(Group.Gateways);
  }
  bool started(double Now) const {
    return Now >= StartsAt + RestartDelaySeconds;
  }
  /// Whether it knows the owner of the old list of gateways or of the new one.
  size_t ownerAt(double Now) const {
    return Now >= ChangeAt &&
           (StartsAt > 0 || Now >= ChangeAt + UpdateDelaySeconds);
  }
};

std::vector<simulated_gateway> gatewaysFor(size_t Count, bool HalfStart) {
  size_t Old = HalfStart ? (Count + 1) / 2 : Count;
  std::vector<simulated_gateway> Gateways(Count);
  for (size_t I = 0; I < Count; ++I) {
    double Phase = double(I) / double(Count);
    Gateways[I].Before = {.Gateways = Old, .Rank = I, .Phase = Phase};
    // The start of gateways changes all ranks, as with the daemons' checksums.
    Gateways[I].After = {
        .Gateways = Count, .Rank = (I * 7 + 3) % Count, .Phase = Phase};
    if (I >= Old)
      Gateways[I].StartsAt = ChangeAt;
  }
  return Gateways;
}

shared_rate_row runScenario(const bounded_upstream &Upstream, size_t Count,
                            bool HalfStart, share_policy Policy) {
  std::vector<simulated_gateway> Gateways = gatewaysFor(Count, HalfStart);
  bool Paced = Policy != share_policy::Unbounded;
  if (Policy == share_policy::ByRank)
    for (simulated_gateway &Each : Gateways)
      Each.Pacer.begin(0, Each.gapAt(0, Upstream, Policy), Each.Before.Phase);
  // With permits: the owner by the old and by the new list of gateways.
  std::array<request_pacer, 2> Owners;
  std::mt19937_64 Random(17);
  std::poisson_distribution<int> Arrivals(ArrivalsPerSecond * StepSeconds);
  std::deque<double> Window;
  size_t MaxInWindow = 0;
  size_t Sent = 0;
  for (double Now = 0; Now < Upstream.Seconds; Now += StepSeconds) {
    for (int Each = Arrivals(Random); Each > 0; --Each) {
      simulated_gateway &Gateway = Gateways[Random() % Count];
      double Gap = Paced ? Gateway.gapAt(Now, Upstream, Policy) : 0;
      request_pacer &Pacer = Policy == share_policy::Permits
                                 ? Owners[Gateway.ownerAt(Now)]
                                 : Gateway.Pacer;
      if (!Gateway.started(Now) || Gap == NeverSeconds ||
          Now < Pacer.nextAt(Gap))
        continue;
      if (Paced)
        Pacer.recordRequest(Now);
      Window.push_back(Now);
      ++Sent;
    }
    while (!Window.empty() &&
           Window.front() < Now - Upstream.Bound.WindowSeconds)
      Window.pop_front();
    MaxInWindow = std::max(MaxInWindow, Window.size());
  }
  double Rate = Upstream.RequestsPerSecond;
  const shared_bound &Bound = Upstream.Bound;
  return {.Scenario = std::string(Upstream.Name) + ", " +
                      std::to_string(Count) + " gateways" +
                      (HalfStart ? ", half start" : ""),
          .Policy = std::string(PolicyNames[size_t(Policy)]),
          .MaxInWindow = double(MaxInWindow),
          .Bound = Rate * Bound.WindowSeconds * Bound.Ratio + Bound.Slack,
          .SentPerSecond = double(Sent) / Upstream.Seconds,
          .TakenPerSecond = Rate};
}

} // namespace

std::vector<shared_rate_row> benchSharedRate() {
  std::vector<shared_rate_row> Rows;
  for (const bounded_upstream &Upstream : Upstreams)
    for (size_t Count : GatewayCounts)
      for (bool HalfStart : {false, true})
        for (share_policy Policy :
             {share_policy::Unbounded, share_policy::ByCount,
              share_policy::Permits, share_policy::ByRank})
          Rows.push_back(runScenario(Upstream, Count, HalfStart, Policy));
  return Rows;
}

} // namespace olivevalve
