//===- main.cpp - bench: benchmarks of the decision code ------------------===//
//
// usage: bench [spread | -o json | -o svg]
//
// Without arguments: prints one table for each kind of decision, and last the
// signature of all decisions, which changes if any decision does. "spread"
// prints the version choice over 20 seeds, false stops of roll-outs, queueing
// times of two classes of requests, and the processing time of a decision.
//
//===----------------------------------------------------------------------===//

#include "base/fields.h"
#include "bench/bench.h"
#include "bench/plot.h"
#include <cstdio>
#include <string_view>

using namespace olivevalve;

namespace {

void printText(const std::vector<choice_row> &Choice,
               const std::vector<rollout_row> &Rollout,
               const std::vector<replica_row> &Replicas) {
  std::printf("%-26s %-34s %10s %8s %10s %6s\n", "WORKLOAD", "POLICY",
              "COST/1000", "QUALITY", "SHORTFALL", "MET");
  for (const choice_row &Row : Choice)
    std::printf("%-26s %-34s %10.0f %8.4f %10.4f %5.0f%%\n",
                Row.Workload.c_str(), Row.Policy.c_str(), Row.CostPerThousand,
                Row.Quality, Row.WorstShortfall, 100 * Row.CellsMet);
  std::printf("\n%-32s %-20s %9s %9s %9s %9s %9s\n", "ROLL-OUT", "POLICY",
              "EXPOSED", "WORST", "STOPPED", "IN PART", "SETTLED");
  for (const rollout_row &Row : Rollout)
    std::printf("%-32s %-20s %9.0f %9.0f %8.0f%% %8.0f%% %9.0f\n",
                Row.Scenario.c_str(), Row.Policy.c_str(), Row.MedianExposed,
                Row.WorstExposed, 100 * Row.StoppedShare,
                100 * Row.PartialStopShare, Row.MedianSettled);
  std::printf("\n%-32s %-20s %9s %9s %9s %9s %9s\n", "REPLICAS", "POLICY",
              "MEAN ms", "P95 ms", "P99 ms", "WARM", "NEWS");
  for (const replica_row &Row : Replicas)
    std::printf("%-32s %-20s %9.1f %9.1f %9.1f %8.0f%% %8.0f%%\n",
                Row.Scenario.c_str(), Row.Policy.c_str(), Row.MeanWaitMs,
                Row.P95WaitMs, Row.P99WaitMs, 100 * Row.PrefixHits,
                100 * Row.ReportShare);
}

json toJson(const std::vector<choice_row> &Choice,
            const std::vector<rollout_row> &Rollout,
            const std::vector<replica_row> &Replicas) {
  json Out = {{"choice", json::array()},
              {"rollout", json::array()},
              {"replicas", json::array()}};
  for (const choice_row &Row : Choice)
    Out["choice"].push_back({{"workload", Row.Workload},
                             {"policy", Row.Policy},
                             {"cost_per_thousand", Row.CostPerThousand},
                             {"quality", Row.Quality},
                             {"worst_shortfall", Row.WorstShortfall},
                             {"cells_met", Row.CellsMet}});
  for (const rollout_row &Row : Rollout)
    Out["rollout"].push_back({{"scenario", Row.Scenario},
                              {"policy", Row.Policy},
                              {"median_exposed", Row.MedianExposed},
                              {"worst_exposed", Row.WorstExposed},
                              {"stopped_share", Row.StoppedShare},
                              {"in_part_share", Row.PartialStopShare},
                              {"median_settled", Row.MedianSettled}});
  for (const replica_row &Row : Replicas)
    Out["replicas"].push_back({{"scenario", Row.Scenario},
                               {"policy", Row.Policy},
                               {"mean_wait_ms", Row.MeanWaitMs},
                               {"p95_wait_ms", Row.P95WaitMs},
                               {"p99_wait_ms", Row.P99WaitMs},
                               {"prefix_hits", Row.PrefixHits},
                               {"news_share", Row.ReportShare}});
  return Out;
}

void printPlacement(const std::vector<placement_row> &Placement) {
  std::printf("\n%-32s %-20s %9s %9s %9s\n", "PLACEMENT", "POLICY", "UNSERVED",
              "LOADS", "AT ONCE");
  for (const placement_row &Row : Placement)
    std::printf("%-32s %-20s %8.2f%% %9.0f %9.0f\n", Row.Scenario.c_str(),
                Row.Policy.c_str(), 100 * Row.Unserved, Row.Loads,
                Row.PeakConcurrentLoads);
}

json toJson(const std::vector<placement_row> &Placement) {
  json Rows = json::array();
  for (const placement_row &Row : Placement)
    Rows.push_back({{"scenario", Row.Scenario},
                    {"policy", Row.Policy},
                    {"unserved", Row.Unserved},
                    {"loads", Row.Loads},
                    {"most_loads", Row.PeakConcurrentLoads}});
  return Rows;
}

void printSharedRate(const std::vector<shared_rate_row> &Rates) {
  std::printf("\n%-40s %-16s %15s %7s %8s %8s\n", "UPSTREAM THAT TAKES FEW",
              "POLICY", "MOST IN WINDOW", "BOUND", "SENT/s", "TAKEN/s");
  for (const shared_rate_row &Row : Rates)
    std::printf("%-40s %-16s %15.0f %7.0f %8.2f %8.1f\n", Row.Scenario.c_str(),
                Row.Policy.c_str(), Row.MaxInWindow, Row.Bound,
                Row.SentPerSecond, Row.TakenPerSecond);
}

json toJson(const std::vector<shared_rate_row> &Rates) {
  json Rows = json::array();
  for (const shared_rate_row &Row : Rates)
    Rows.push_back({{"scenario", Row.Scenario},
                    {"policy", Row.Policy},
                    {"most_in_window", Row.MaxInWindow},
                    {"bound", Row.Bound},
                    {"sent_per_second", Row.SentPerSecond},
                    {"taken_per_second", Row.TakenPerSecond}});
  return Rows;
}

void printEstimateUpdates(const std::vector<estimate_update_row> &Updates) {
  std::printf("\n%-32s %12s %12s %9s %9s\n", "UPDATES OF ESTIMATES", "BYTES/s",
              "WHOLE TABLE", "BEHIND", "OFF (SE)");
  for (const estimate_update_row &Row : Updates)
    std::printf("%-32s %12.0f %12.0f %9.0f %9.2f\n", Row.Scenario.c_str(),
                Row.BytesPerSecond, Row.WholeTableBytes, Row.Behind,
                Row.MaxEstimateError);
}

std::string spreadText(const seed_spread &Spread, int Digits) {
  char Text[64];
  std::snprintf(Text, sizeof(Text), "%.*f +- %.*f", Digits, Spread.mean(),
                Digits, Spread.deviation());
  return Text;
}

void printSpread() {
  std::printf("%-26s %-20s %18s %16s %18s %16s\n", "CHOICE, 20 SEEDS", "POLICY",
              "COST/1000", "OVER BOUND", "SHORTFALL", "CELLS MET");
  for (const choice_spread_row &Row : benchChoiceSpread())
    std::printf("%-26s %-20s %18s %16s %18s %16s\n", Row.Workload.c_str(),
                Row.Policy.c_str(), spreadText(Row.Cost, 0).c_str(),
                spreadText(Row.CostOverBound, 2).c_str(),
                spreadText(Row.WorstShortfall, 4).c_str(),
                spreadText(Row.CellsMet, 2).c_str());
  false_stop_row Stops = benchFalseStops();
  std::printf(
      "\nFALSE STOPS: %d in full and %d in part, of %d good roll-outs\n",
      Stops.Stopped, Stops.PartialStops, Stops.Rollouts);
  std::printf("\n%-6s %-18s %-8s %16s %16s %16s %16s\n", "LOAD",
              "WAITS, 20 SEEDS", "CLASS", "P50 ms", "P95 ms", "P99 ms", "SHED");
  auto Print = [](const wait_row &Row, const char *Class,
                  const wait_quantiles &Waits) {
    std::printf("%4.0f%%  %-18s %-8s %16s %16s %16s %16s\n", 100 * Row.Load,
                Row.Policy.c_str(), Class, spreadText(Waits.P50, 0).c_str(),
                spreadText(Waits.P95, 0).c_str(),
                spreadText(Waits.P99, 0).c_str(),
                spreadText(Waits.ShedShare, 3).c_str());
  };
  for (const wait_row &Row : benchWaits()) {
    Print(Row, "urgent", Row.Urgent);
    Print(Row, "others", Row.Others);
  }
  std::printf("\n%-36s %12s %12s\n", "TIME OF A DECISION", "ns", "ALLOCATIONS");
  for (const speed_row &Row : benchSpeed())
    std::printf("%-36s %12.0f %12.1f\n", Row.Decision.c_str(), Row.Nanoseconds,
                Row.Allocations);
}

} // namespace

int main(int Count, char **Values) {
  std::vector<std::string_view> Arguments(Values + 1, Values + Count);
  if (Arguments == std::vector<std::string_view>{"spread"}) {
    printSpread();
    return 0;
  }
  bool HasFormat = Arguments.size() == 2 && Arguments[0] == "-o";
  bool Json = HasFormat && Arguments[1] == "json";
  bool Svg = HasFormat && Arguments[1] == "svg";
  if (!Arguments.empty() && !Json && !Svg) {
    std::fprintf(stderr, "usage: bench [spread | -o json | -o svg]\n");
    return 2;
  }
  decision_signature Signature;
  auto Replicas = benchReplicas(Signature);
  auto Rollout = benchRollout(Signature);
  auto Choice = benchChoice(Signature);
  auto Placement = benchPlacement(Signature);
  if (Svg) {
    std::fputs(plotSvg(Choice, Rollout).c_str(), stdout);
    return 0;
  }
  if (Json) {
    json Out = toJson(Choice, Rollout, Replicas);
    Out["placement"] = toJson(Placement);
    Out["shared_rate"] = toJson(benchSharedRate());
    Out["bench"] = Signature.value();
    std::printf("%s\n", Out.dump(2).c_str());
    return 0;
  }
  printText(Choice, Rollout, Replicas);
  printPlacement(Placement);
  printSharedRate(benchSharedRate());
  printEstimateUpdates(benchEstimateUpdates());
  std::printf("\nBench: %llu\n", (unsigned long long)Signature.value());
  return 0;
}
