//===- warmup.cpp - Requests of many gateways to a cold upstream ----------===//

#include "policy/warmup.h"
#include "bench/bench.h"
#include <algorithm>
#include <deque>
#include <random>

namespace olivevalve {

namespace {

// Requests per second that a cold upstream can process.
constexpr double ColdRate = 18;
constexpr cold_bounds Bounds{.Ratio = 1.5, .Slack = 5};
// Rate of requests for which some gateway prefers the cold upstream: it is
// empty and looks best to all of them.
constexpr double ArrivalsPerSecond = 200;
constexpr double StepSeconds = 0.002;
constexpr double Seconds = 8;
constexpr double ChangeAt = 3; ///< Second at which half of the gateways start.
// Time until the gateways that already run receive the new list of gateways.
constexpr double UpdateDelaySeconds = 0.6;
constexpr size_t GatewayCounts[] = {3, 21, 103, 410};

/// How a gateway limits its requests to the cold upstream.
enum class limit_policy : uint8_t { Unbounded, ByCount, ByRank };
constexpr std::string_view LimitNames[] = {"no bound", "equal share",
                                           "share by rank"};

struct cold_gateway {
  warmup_group Before; ///< In use until the update about the change arrives.
  warmup_group After;
  double StartsAt = -RestartDelaySeconds;
  warmup_pacer Pace;

  double rateAt(double Now, limit_policy Limit) const {
    bool HasOldList = StartsAt <= 0 && Now < ChangeAt + UpdateDelaySeconds;
    const warmup_group &Group = HasOldList ? Before : After;
    if (Limit == limit_policy::ByRank)
      return warmupRate(ColdRate, Bounds, Group);
    warmup_group Single{.Gateways = 1};
    return warmupRate(ColdRate, Bounds, Single) / double(Group.Gateways);
  }
  bool maySend(double Now, limit_policy Limit) const {
    if (Now < StartsAt)
      return false;
    if (Limit == limit_policy::Unbounded)
      return true;
    bool RestartDelayOver =
        Limit == limit_policy::ByCount || Now >= StartsAt + RestartDelaySeconds;
    return RestartDelayOver && Pace.allows(Now) && rateAt(Now, Limit) > 0;
  }
};

std::vector<cold_gateway> gatewaysFor(size_t Count, bool HalfStart) {
  size_t Old = HalfStart ? (Count + 1) / 2 : Count;
  std::vector<cold_gateway> Gateways(Count);
  for (size_t I = 0; I < Count; ++I) {
    Gateways[I].Before = {.Gateways = Old, .Rank = I};
    // The start of gateways changes all ranks, as with the daemons' checksums.
    Gateways[I].After = {.Gateways = Count, .Rank = (I * 7 + 3) % Count};
    if (I >= Old)
      Gateways[I].StartsAt = ChangeAt;
  }
  return Gateways;
}

warmup_row runScenario(size_t Count, bool HalfStart, limit_policy Limit) {
  std::vector<cold_gateway> Gateways = gatewaysFor(Count, HalfStart);
  std::mt19937_64 Random(17);
  std::poisson_distribution<int> Arrivals(ArrivalsPerSecond * StepSeconds);
  std::deque<double> LastSecond;
  size_t MaxInWindow = 0;
  size_t Sent = 0;
  for (double Now = 0; Now < Seconds; Now += StepSeconds) {
    for (int Each = Arrivals(Random); Each > 0; --Each) {
      cold_gateway &Gateway = Gateways[Random() % Count];
      if (!Gateway.maySend(Now, Limit))
        continue;
      if (Limit != limit_policy::Unbounded)
        Gateway.Pace.recordRequest(Now, Gateway.rateAt(Now, Limit));
      LastSecond.push_back(Now);
      ++Sent;
    }
    while (!LastSecond.empty() && LastSecond.front() < Now - 1)
      LastSecond.pop_front();
    MaxInWindow = std::max(MaxInWindow, LastSecond.size());
  }
  std::string Scenario = std::to_string(Count) + " gateways";
  return {.Scenario = Scenario + (HalfStart ? ", half start" : ""),
          .Policy = std::string(LimitNames[size_t(Limit)]),
          .MaxSentInASecond = double(MaxInWindow),
          .Bound = ColdRate * Bounds.Ratio + Bounds.Slack,
          .SentPerSecond = double(Sent) / Seconds};
}

} // namespace

std::vector<warmup_row> benchWarmup() {
  std::vector<warmup_row> Rows;
  for (size_t Count : GatewayCounts)
    for (bool HalfStart : {false, true})
      for (limit_policy Limit : {limit_policy::Unbounded, limit_policy::ByCount,
                                 limit_policy::ByRank})
        Rows.push_back(runScenario(Count, HalfStart, Limit));
  return Rows;
}

} // namespace olivevalve
