//===- warming.cpp - A cold upstream among many gateways ------------------===//

#include "policy/warming.h"
#include "bench/bench.h"
#include <algorithm>
#include <deque>
#include <random>

namespace olivevalve {

namespace {

constexpr double Bears = 18; ///< Requests a second while it is cold.
constexpr cold_bounds Bounds{.Ratio = 1.5, .Slack = 5};
// An upstream that has just come up looks best to all.
constexpr double WantedPerSecond = 200;
constexpr double StepSeconds = 0.002;
constexpr double Seconds = 8;
constexpr double ChangeAt = 3; ///< Half of the gateways start then.
// Gateways that were there hear of those that start.
constexpr double NewsSeconds = 0.6;
constexpr size_t GatewayCounts[] = {3, 21, 103, 410};

enum class way : uint8_t { Unbounded, ByCount, ByRank };
constexpr std::string_view WayNames[] = {"no bound", "share by count",
                                         "few by rank"};

struct cold_gateway {
  warmup_group Before; ///< Known until it hears of the change.
  warmup_group After;
  double StartsAt = -RestartDelaySeconds;
  warmup_pacer Pace;

  double shareAt(double Now, way Way) const {
    bool Late = StartsAt <= 0 && Now < ChangeAt + NewsSeconds;
    const warmup_group &Circle = Late ? Before : After;
    if (Way == way::ByRank)
      return warmupRate(Bears, Bounds, Circle);
    warmup_group Alone{.Gateways = 1};
    return warmupRate(Bears, Bounds, Alone) / double(Circle.Gateways);
  }
  bool maySend(double Now, way Way) const {
    if (Now < StartsAt)
      return false;
    if (Way == way::Unbounded)
      return true;
    bool Remembers =
        Way == way::ByCount || Now >= StartsAt + RestartDelaySeconds;
    return Remembers && Pace.allows(Now) && shareAt(Now, Way) > 0;
  }
};

std::vector<cold_gateway> gatewaysFor(size_t Count, bool HalfStart) {
  size_t Old = HalfStart ? (Count + 1) / 2 : Count;
  std::vector<cold_gateway> Gateways(Count);
  for (size_t I = 0; I < Count; ++I) {
    Gateways[I].Before = {.Gateways = Old, .Rank = I};
    // Ranks are drawn anew among all, as a checksum would.
    Gateways[I].After = {.Gateways = Count, .Rank = (I * 7 + 3) % Count};
    if (I >= Old)
      Gateways[I].StartsAt = ChangeAt;
  }
  return Gateways;
}

warming_row play(size_t Count, bool HalfStart, way Way) {
  std::vector<cold_gateway> Gateways = gatewaysFor(Count, HalfStart);
  std::mt19937_64 Random(17);
  std::poisson_distribution<int> Wanted(WantedPerSecond * StepSeconds);
  std::deque<double> LastSecond;
  size_t Most = 0;
  size_t Sent = 0;
  for (double Now = 0; Now < Seconds; Now += StepSeconds) {
    for (int Each = Wanted(Random); Each > 0; --Each) {
      cold_gateway &Gateway = Gateways[Random() % Count];
      if (!Gateway.maySend(Now, Way))
        continue;
      if (Way != way::Unbounded)
        Gateway.Pace.recordRequest(Now, Gateway.shareAt(Now, Way));
      LastSecond.push_back(Now);
      ++Sent;
    }
    while (!LastSecond.empty() && LastSecond.front() < Now - 1)
      LastSecond.pop_front();
    Most = std::max(Most, LastSecond.size());
  }
  std::string Scenario = std::to_string(Count) + " gateways";
  return {.Scenario = Scenario + (HalfStart ? ", half start" : ""),
          .Policy = std::string(WayNames[size_t(Way)]),
          .MostInASecond = double(Most),
          .Bound = Bears * Bounds.Ratio + Bounds.Slack,
          .SentPerSecond = double(Sent) / Seconds};
}

} // namespace

std::vector<warming_row> benchWarming() {
  std::vector<warming_row> Rows;
  for (size_t Count : GatewayCounts)
    for (bool HalfStart : {false, true})
      for (way Way : {way::Unbounded, way::ByCount, way::ByRank})
        Rows.push_back(play(Count, HalfStart, Way));
  return Rows;
}

} // namespace olivevalve
