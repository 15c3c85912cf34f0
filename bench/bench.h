//===- bench.h - Benchmarks of the decision code ----------------*- C++ -*-===//
//
// Runs the decision code that the daemons use on seeded workloads modelled on
// those of the two deployments, sahel and laurentien, and compares it with
// baselines and with a bound from perfect information. Arrivals, ratings and
// load reports are generated; no processes and no network are involved.
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

/// Hashes a sequence of decisions into one number, which changes if any
/// decision does.
class decision_signature {
public:
  void add(std::string_view Decision) { Value = checksum(Decision, Value); }
  uint64_t value() const { return Value; }

private:
  uint64_t Value = 0;
};

/// Mean and standard deviation of one figure over seeds.
class seed_spread {
public:
  void add(double Value);
  /// 0 if no value was added.
  double mean() const { return Count > 0 ? Sum / Count : 0; }
  /// Sample standard deviation; 0 for fewer than two values.
  double deviation() const;

private:
  double Count = 0;
  double Sum = 0;
  double Squares = 0;
};

/// Requests that all gateways together send to an upstream that takes few.
struct shared_rate_row {
  std::string Scenario;
  std::string Policy;
  double MaxInWindow = 0;    ///< Most requests within any window.
  double Bound = 0;          ///< Highest number allowed within any window.
  double SentPerSecond = 0;  ///< Mean over the run.
  double TakenPerSecond = 0; ///< What the upstream says it takes.
};
std::vector<shared_rate_row> benchSharedRate();

/// Cost and quality of a policy that chooses versions. A cell is one template
/// for one client account; each cell has a quality target.
struct choice_row {
  std::string Workload;
  std::string Policy;
  double CostPerThousand = 0; ///< Cost of 1,000 requests.
  double Quality = 0;         ///< Mean over all requests, 0 to 1.
  /// Largest difference over cells of target and mean quality; 0 if all met.
  double WorstShortfall = 0;
  /// Share of cells whose mean quality is at most 0.005 below the target.
  double CellsMet = 0;
};
std::vector<choice_row> benchChoice(decision_signature &Signature);
/// The figures of choice_row over seeds.
struct choice_spread_row {
  std::string Workload;
  std::string Policy;
  seed_spread Cost;
  seed_spread CostOverBound; ///< Cost divided by that of the bound.
  seed_spread WorstShortfall;
  seed_spread CellsMet;
};
std::vector<choice_spread_row> benchChoiceSpread();

/// How a policy limits the exposure to a bad version during its roll-out.
struct rollout_row {
  std::string Scenario;
  std::string Policy;
  double MedianExposed = 0; ///< Bad answers in a run.
  double WorstExposed = 0;  ///< Bad answers in the worst run.
  /// Share of runs in which the version was stopped for all requests.
  double StoppedShare = 0;
  /// Share of runs in which the version was stopped for exactly the template or
  /// client account for which it is bad.
  double PartialStopShare = 0;
  /// Requests of the run until the new version got all traffic; -1 if it never
  /// did.
  double MedianSettled = 0;
  /// Cumulative bad answers, mean over runs, one value each CurveStep requests.
  std::vector<double> Curve;
};
/// Requests between two points of rollout_row::Curve.
constexpr int CurveStep = 250;
std::vector<rollout_row> benchRollout(decision_signature &Signature);
/// How many roll-outs of good versions were stopped by mistake.
struct false_stop_row {
  int Rollouts = 0;
  int Stopped = 0;      ///< For all requests.
  int PartialStops = 0; ///< For a template or client account.
};
false_stop_row benchFalseStops();

/// Queueing times when entries choose replicas from outdated load reports.
struct replica_row {
  std::string Scenario;
  std::string Policy;
  double MeanWaitMs = 0;
  double P95WaitMs = 0;
  double P99WaitMs = 0;
  /// Share of requests whose prefix was in the replica's KV cache.
  double PrefixHits = 0;
  /// Share of load samples that a sidecar reported to the entries.
  double ReportShare = 0;
};
std::vector<replica_row> benchReplicas(decision_signature &Signature);

/// Quantiles over seeds of the time in milliseconds until a request gets a
/// slot.
struct wait_quantiles {
  seed_spread P50;
  seed_spread P95;
  seed_spread P99;
  seed_spread ShedShare; ///< Share of requests that were shed.
};

/// Queueing times of two classes of requests at one pool: priority 0, and all
/// others.
struct wait_row {
  double Load = 0; ///< Share of the pool's capacity.
  std::string Policy;
  wait_quantiles Urgent;
  wait_quantiles Others;
};
std::vector<wait_row> benchWaits();

/// Processing time of one decision, with 13 versions and 86 replicas, and its
/// number of heap allocations.
struct speed_row {
  std::string Decision;
  double Nanoseconds = 0;
  double Allocations = 0;
};
std::vector<speed_row> benchSpeed();

/// Demand for which no replica with the version loaded has a free slot.
struct placement_row {
  std::string Scenario;
  std::string Policy;
  double Unserved = 0;            ///< Share of demand.
  double Loads = 0;               ///< Versions loaded within an hour.
  double PeakConcurrentLoads = 0; ///< Highest number of concurrent loads.
};
std::vector<placement_row> benchPlacement(decision_signature &Signature);

/// Traffic and error of the estimates at one node that polls control for
/// updates each second.
struct estimate_update_row {
  std::string Scenario;
  /// Mean size of an update, which holds only cells that have changed.
  double BytesPerSecond = 0;
  /// Size of an update that would hold the whole table, for comparison.
  double WholeTableBytes = 0;
  /// Ratings at the end of the run that the node has not received.
  double Behind = 0;
  /// Largest difference between the estimates of node and control, in standard
  /// errors.
  double MaxEstimateError = 0;
};
std::vector<estimate_update_row> benchEstimateUpdates();

} // namespace olivevalve

#endif // OLIVEVALVE_BENCH_BENCH_H
