//===- main.cpp - bench: measuring the decisions --------------------------===//
//
// usage: bench [-o json]
//
//===----------------------------------------------------------------------===//

#include "base/fields.h"
#include "tests/bench/bench.h"
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
                Row.WorstExposed, 100 * Row.StoppedShare, 100 * Row.InPartShare,
                Row.MedianSettled);
  std::printf("\n%-32s %-20s %9s %9s %9s %9s %9s\n", "REPLICAS", "POLICY",
              "MEAN ms", "P95 ms", "P99 ms", "WARM", "NEWS");
  for (const replica_row &Row : Replicas)
    std::printf("%-32s %-20s %9.1f %9.1f %9.1f %8.0f%% %8.0f%%\n",
                Row.Scenario.c_str(), Row.Policy.c_str(), Row.MeanWaitMs,
                Row.P95WaitMs, Row.P99WaitMs, 100 * Row.PrefixHits,
                100 * Row.NewsShare);
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
                              {"in_part_share", Row.InPartShare},
                              {"median_settled", Row.MedianSettled}});
  for (const replica_row &Row : Replicas)
    Out["replicas"].push_back({{"scenario", Row.Scenario},
                               {"policy", Row.Policy},
                               {"mean_wait_ms", Row.MeanWaitMs},
                               {"p95_wait_ms", Row.P95WaitMs},
                               {"p99_wait_ms", Row.P99WaitMs},
                               {"prefix_hits", Row.PrefixHits},
                               {"news_share", Row.NewsShare}});
  return Out;
}

void printPlacement(const std::vector<placement_row> &Placement) {
  std::printf("\n%-32s %-20s %9s %9s %9s\n", "PLACEMENT", "POLICY", "UNSERVED",
              "LOADS", "AT ONCE");
  for (const placement_row &Row : Placement)
    std::printf("%-32s %-20s %8.2f%% %9.0f %9.0f\n", Row.Scenario.c_str(),
                Row.Policy.c_str(), 100 * Row.Unserved, Row.Loads,
                Row.MostLoads);
}

json toJson(const std::vector<placement_row> &Placement) {
  json Rows = json::array();
  for (const placement_row &Row : Placement)
    Rows.push_back({{"scenario", Row.Scenario},
                    {"policy", Row.Policy},
                    {"unserved", Row.Unserved},
                    {"loads", Row.Loads},
                    {"most_loads", Row.MostLoads}});
  return Rows;
}

void printNews(const std::vector<news_row> &News) {
  std::printf("\n%-32s %12s %12s %9s %9s\n", "NEWS OF ESTIMATES", "BYTES/s",
              "WHOLE TABLE", "BEHIND", "OFF (SE)");
  for (const news_row &Row : News)
    std::printf("%-32s %12.0f %12.0f %9.0f %9.2f\n", Row.Scenario.c_str(),
                Row.BytesPerSecond, Row.WholeTableBytes, Row.Behind,
                Row.WorstOff);
}

} // namespace

int main(int Count, char **Values) {
  bool Json = Count == 3 && std::string_view(Values[1]) == "-o" &&
              std::string_view(Values[2]) == "json";
  if (Count != 1 && !Json) {
    std::fprintf(stderr, "usage: bench [-o json]\n");
    return 2;
  }
  decision_signature Signature;
  auto Replicas = benchReplicas(Signature);
  auto Rollout = benchRollout(Signature);
  auto Choice = benchChoice(Signature);
  auto Placement = benchPlacement(Signature);
  if (Json) {
    json Out = toJson(Choice, Rollout, Replicas);
    Out["placement"] = toJson(Placement);
    Out["bench"] = Signature.value();
    std::printf("%s\n", Out.dump(2).c_str());
    return 0;
  }
  printText(Choice, Rollout, Replicas);
  printPlacement(Placement);
  printNews(benchNews());
  std::printf("\nBench: %llu\n", (unsigned long long)Signature.value());
  return 0;
}
