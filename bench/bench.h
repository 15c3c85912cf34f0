//===- bench.h - Measuring the decisions ------------------------*- C++ -*-===//
//
// Runs the decision code, as the daemons use it, on seeded workloads shaped
// like the users' own, beside baselines and a bound from perfect knowledge.
// Arrivals, ratings and load news are scripted; no cluster is simulated.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_BENCH_BENCH_H
#define OLIVEVALVE_BENCH_BENCH_H

#include "base/digest.h"
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace olivevalve {

/// Gathers every decision into one number.
class decision_signature {
public:
  void add(std::string_view Decision) { Value = checksum(Decision, Value); }
  uint64_t value() const { return Value; }

private:
  uint64_t Value = 0;
};

/// Mean and spread of one figure over seeds.
class seed_spread {
public:
  void add(double Value);
  double mean() const { return Count > 0 ? Sum / Count : 0; }
  /// Standard deviation between seeds.
  double deviation() const;

private:
  double Count = 0;
  double Sum = 0;
  double Squares = 0;
};

/// What an upstream that has just started gets from all gateways.
struct warming_row {
  std::string Scenario;
  std::string Policy;
  double MostInASecond = 0;
  double Bound = 0; ///< That many within any second at most.
  double SentPerSecond = 0;
};
std::vector<warming_row> benchWarming();

/// Cost at the quality target.
struct choice_row {
  std::string Workload;
  std::string Policy;
  double CostPerThousand = 0;
  double Quality = 0;
  double WorstShortfall = 0; ///< Over cells: target minus mean quality.
  double CellsMet = 0;       ///< Share of cells within 0.005 of the target.
};
std::vector<choice_row> benchChoice(decision_signature &Signature);
/// The same over seeds.
struct choice_spread_row {
  std::string Workload;
  std::string Policy;
  seed_spread Cost;
  seed_spread OverBound; ///< Cost divided by that of perfect knowledge.
  seed_spread WorstShortfall;
  seed_spread CellsMet;
};
std::vector<choice_spread_row> benchChoiceSpread();

/// Exposure to bad versions.
struct rollout_row {
  std::string Scenario;
  std::string Policy;
  double MedianExposed = 0; ///< Answers by the version once it was bad.
  double WorstExposed = 0;
  double StoppedShare = 0;  ///< Of runs, whole.
  double InPartShare = 0;   ///< Of runs, for the bad part and no other.
  double MedianSettled = 0; ///< Requests of all until it took all traffic.
  /// Bad answers given so far, mean over runs, every CurveStep requests.
  std::vector<double> Curve;
};
constexpr int CurveStep = 250;
std::vector<rollout_row> benchRollout(decision_signature &Signature);
/// Roll-outs of good versions that were stopped, of so many.
struct false_stop_row {
  int Rollouts = 0;
  int Stopped = 0;       ///< Whole.
  int StoppedInPart = 0; ///< For a template or client account.
};
false_stop_row benchFalseStops();

/// Waiting of requests under stale news.
struct replica_row {
  std::string Scenario;
  std::string Policy;
  double MeanWaitMs = 0;
  double P95WaitMs = 0;
  double P99WaitMs = 0;
  double PrefixHits = 0; ///< Share of requests that found their prefix warm.
  double NewsShare = 0;  ///< Share of looks at the load that were told.
};
std::vector<replica_row> benchReplicas(decision_signature &Signature);

/// Waits for a slot in milliseconds, over seeds.
struct wait_quantiles {
  seed_spread P50;
  seed_spread P95;
  seed_spread P99;
  seed_spread NotRun; ///< Share that waited for too long.
};

/// Two classes of requests at one pool: priority 0, and the others.
struct wait_row {
  double Load = 0; ///< Of capacity.
  std::string Policy;
  wait_quantiles Urgent;
  wait_quantiles Others;
};
std::vector<wait_row> benchWaits();

/// What one decision costs, with 13 versions and 86 replicas.
struct speed_row {
  std::string Decision;
  double Nanoseconds = 0;
  double Allocations = 0;
};
std::vector<speed_row> benchSpeed();

/// Demand that finds no copy of its version with a slot left.
struct placement_row {
  std::string Scenario;
  std::string Policy;
  double Unserved = 0;  ///< Share of demand.
  double Loads = 0;     ///< In an hour.
  double MostLoads = 0; ///< At once.
};
std::vector<placement_row> benchPlacement(decision_signature &Signature);

/// Estimates on their way to one node that asks each second.
struct news_row {
  std::string Scenario;
  double BytesPerSecond = 0;  ///< Steady, of cells that moved.
  double WholeTableBytes = 0; ///< What each second cost as a whole table.
  double Behind = 0;          ///< Ratings the node has not heard of at the end.
  double WorstOff = 0;        ///< Standard errors between node and control.
};
std::vector<news_row> benchNews();

} // namespace olivevalve

#endif // OLIVEVALVE_BENCH_BENCH_H
