//===- choice.cpp - Cost of version choices at the quality target ---------===//

#include "bench/bench.h"
#include "policy/version_choice.h"
#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <map>
#include <queue>

namespace olivevalve {

namespace {

constexpr int Requests = 30000;
constexpr double RatingNoise = 0.1;    ///< Standard deviation.
constexpr double RatingsLost = 0.2;    ///< Share that never arrives.
constexpr double MeanRatingDelay = 60; ///< In requests.

struct bench_version {
  version_name Name;
  double Cost;
};

/// A cell: one template for one client account.
struct bench_cell {
  std::string Template;
  std::string Account;
  double Weight; ///< Relative number of requests.
  double Target;
  std::array<double, 3> Quality; ///< Mean, by version.
  /// Difference in quality of the cheapest version between the easiest and the
  /// hardest requests.
  double Hardness;
};

struct bench_workload {
  std::string Name;
  std::array<bench_version, 3> Versions;
  std::vector<bench_cell> Cells;
  /// Share of the run after which the quality of the cheapest version drops;
  /// above 1: never.
  double DriftAt = 2;
};

// Sahel has a few large accounts; route plans are hard and delivery notes easy.
// In Laurentien explanations are hard, tagging is easy, and summaries lie in
// between.
std::vector<bench_workload> workloads() {
  std::array<bench_version, 3> Sahel = {{{{"olive-mini", "1"}, 1},
                                         {{"olive-llm", "1"}, 4},
                                         {{"olive-max", "1"}, 12}}};
  std::array<bench_version, 3> Laurentien = {{{{"tuteur-petit", "1"}, 1},
                                              {{"tuteur-modele", "1"}, 5},
                                              {{"tuteur-grand", "1"}, 15}}};
  std::vector<bench_workload> All = {
      {"sahel",
       Sahel,
       {{"route-plan", "tunis", 4, 0.85, {0.55, 0.8, 0.92}, 0.4},
        {"route-plan", "sfax", 2, 0.8, {0.6, 0.82, 0.92}, 0.4},
        {"delivery-note", "tunis", 6, 0.8, {0.84, 0.9, 0.93}, 0.2},
        {"delivery-note", "small-shop", 1, 0.85, {0.82, 0.9, 0.93}, 0.2},
        {"summary", "sfax", 3, 0.75, {0.72, 0.86, 0.9}, 0.3}}},
      {"laurentien",
       Laurentien,
       {{"explanation", "ecole-laval", 4, 0.88, {0.5, 0.83, 0.95}, 0.5},
        {"explanation", "ecole-levis", 1, 0.85, {0.5, 0.83, 0.95}, 0.5},
        {"summary", "instructeurs", 3, 0.8, {0.74, 0.88, 0.93}, 0.3},
        {"tagging", "code-route", 6, 0.85, {0.88, 0.92, 0.94}, 0.1}}},
  };
  bench_workload Drift = All[0];
  Drift.Name = "sahel, cheapest degrades";
  Drift.DriftAt = 0.5;
  All.push_back(Drift);
  return All;
}

/// One request with the quality and rating that the answer of each version
/// would have. Only the run sees them all; a policy gets the ratings of its
/// choices.
struct bench_request {
  const bench_cell *Cell;
  std::array<double, 3> Quality;
  std::array<double, 3> Rating;
};

std::vector<bench_request> makeRequests(const bench_workload &Workload,
                                        uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  std::vector<double> Weights;
  for (const bench_cell &Cell : Workload.Cells)
    Weights.push_back(Cell.Weight);
  std::discrete_distribution<size_t> PickCell(Weights.begin(), Weights.end());
  std::uniform_real_distribution<double> Unit(0, 1);
  std::normal_distribution<double> Noise(0, 1);
  std::vector<bench_request> List;
  for (int I = 0; I < Requests; ++I) {
    bench_request Request{&Workload.Cells[PickCell(Random)], {}, {}};
    double Hard = Unit(Random) - 0.5;
    bool Drifted = I > Workload.DriftAt * Requests;
    for (size_t V = 0; V < 3; ++V) {
      // Better versions lose less quality on hard requests.
      double Slope = Request.Cell->Hardness * (1 - 0.3 * double(V));
      double Mean = Request.Cell->Quality[V] - (Drifted && V == 0 ? 0.12 : 0);
      double Quality = Mean - Slope * Hard + 0.05 * Noise(Random);
      Request.Quality[V] = std::clamp(Quality, 0.0, 1.0);
      Request.Rating[V] = std::clamp(
          Request.Quality[V] + RatingNoise * Noise(Random), 0.0, 1.0);
    }
    List.push_back(Request);
  }
  return List;
}

/// Sums up the cost and quality of one policy over a run.
class choice_run {
public:
  choice_run(const bench_workload &Workload, std::string Policy)
      : Workload(Workload), Policy(std::move(Policy)) {}

  void answered(const bench_request &Request, double Quality, double Cost) {
    sums &Sums = Cells[Request.Cell];
    Sums.Count += 1;
    Sums.Quality += Quality;
    Total += Cost;
    All += Quality;
  }

  choice_row row() const {
    choice_row Row{Workload.Name, Policy};
    Row.CostPerThousand = 1000 * Total / Requests;
    Row.Quality = All / Requests;
    double Met = 0;
    for (const auto &[Cell, Sums] : Cells) {
      double Short = Cell->Target - Sums.Quality / Sums.Count;
      Row.WorstShortfall = std::max(Row.WorstShortfall, Short);
      Met += Short <= 0.005 ? 1 : 0;
    }
    Row.CellsMet = Met / double(Cells.size());
    return Row;
  }

private:
  struct sums {
    double Count = 0;
    double Quality = 0;
  };
  const bench_workload &Workload;
  std::string Policy;
  std::map<const bench_cell *, sums> Cells;
  double Total = 0;
  double All = 0;
};

size_t indexOf(const bench_workload &Workload, const version_name &Name) {
  for (size_t V = 0; V < 3; ++V)
    if (Workload.Versions[V].Name == Name)
      return V;
  return 0;
}

/// A rating that arrives before request number At.
struct delayed_rating {
  int At;
  estimate_key Key;
  double Score;
  double Cost;
  bool operator>(const delayed_rating &Other) const { return At > Other.At; }
};

// Runs the decision code of the daemons with ratings that are delayed, lost and
// noisy. With \p RatingsStop, no rating is given in the second half of the run.
choice_row runOlivevalve(const bench_workload &Workload,
                         const std::vector<bench_request> &List,
                         bool MayCascade, bool RatingsStop, uint64_t Seed,
                         decision_signature &Signature) {
  std::string Name = MayCascade ? "olivevalve" : "olivevalve, no cascade";
  choice_run Run(Workload, RatingsStop ? Name + ", ratings stop" : Name);
  std::mt19937_64 Random(Seed);
  std::uniform_real_distribution<double> Unit(0, 1);
  std::exponential_distribution<double> Delay(1 / MeanRatingDelay);
  std::priority_queue<delayed_rating, std::vector<delayed_rating>,
                      std::greater<>>
      Delayed;
  estimates Estimates;
  choice_cache Cache;
  for (int I = 0; I < Requests; ++I) {
    while (!Delayed.empty() && Delayed.top().At <= I) {
      Estimates.add(Delayed.top().Key, Delayed.top().Score, Delayed.top().Cost);
      Delayed.pop();
    }
    const bench_request &Request = List[size_t(I)];
    const bench_cell &Cell = *Request.Cell;
    choice_input Input{.Template = Cell.Template,
                       .Account = Cell.Account,
                       .QualityTarget = Cell.Target,
                       .Policy = cheapest_policy{}};
    Input.MayCascade = MayCascade;
    for (const bench_version &Version : Workload.Versions)
      Input.Candidates.push_back(
          {.Name = Version.Name, .PriorCost = Version.Cost});
    chosen_arm Choice = *chooseArm(Input, Estimates, Cache, Random);
    Signature.add(Choice.Arm.text());
    auto Rate = [&](const arm &Arm, double Score, double Cost, bool Immediate) {
      if (RatingsStop && I > Requests / 2)
        return;
      if (!Immediate && Unit(Random) < RatingsLost)
        return;
      int At = Immediate ? I : I + 1 + int(Delay(Random));
      Delayed.push({At, {Cell.Template, Cell.Account, Arm}, Score, Cost});
    };
    size_t First = indexOf(Workload, Choice.Arm.First);
    double Cost = Workload.Versions[First].Cost;
    if (!Choice.Arm.isCascade()) {
      Rate(Choice.Arm, Request.Rating[First], Cost, false);
      Run.answered(Request, Request.Quality[First], Cost);
      continue;
    }
    size_t Second = indexOf(Workload, Choice.Arm.Second);
    Rate({Choice.Arm.First, {}}, Request.Rating[First], Cost, true);
    bool Escalates = Request.Rating[First] < escalationThreshold(Input);
    size_t Last = Escalates ? Second : First;
    if (Escalates) {
      Rate({Choice.Arm.Second, {}}, Request.Rating[Second],
           Workload.Versions[Second].Cost, false);
      Cost += Workload.Versions[Second].Cost;
    }
    Rate(Choice.Arm, Request.Rating[Last], Cost, !Escalates);
    Run.answered(Request, Request.Quality[Last], Cost);
  }
  return Run.row();
}

/// Runs a baseline that picks a version from the request's number alone.
choice_row runFixed(const bench_workload &Workload,
                    const std::vector<bench_request> &List,
                    const std::string &Name,
                    const std::function<size_t(int)> &Pick) {
  choice_run Run(Workload, Name);
  for (int I = 0; I < Requests; ++I) {
    size_t V = Pick(I);
    Run.answered(List[size_t(I)], List[size_t(I)].Quality[V],
                 Workload.Versions[V].Cost);
  }
  return Run.row();
}

/// Runs a baseline that sends each request to the cheapest version, and to the
/// best one too if the rating of the first answer is below \p Threshold.
choice_row runCascade(const bench_workload &Workload,
                      const std::vector<bench_request> &List,
                      double Threshold) {
  choice_run Run(Workload, "fixed cascade");
  for (const bench_request &Request : List) {
    bool Escalates = Request.Rating[0] < Threshold;
    double Cost =
        Workload.Versions[0].Cost + (Escalates ? Workload.Versions[2].Cost : 0);
    Run.answered(Request, Request.Quality[Escalates ? 2 : 0], Cost);
  }
  return Run.row();
}

// Computes the bound: all qualities are known in advance. For each cell, a
// bisection finds the price of quality at which choosing the version with the
// highest quality times price minus cost just meets the target on average.
choice_row runBound(const bench_workload &Workload,
                    const std::vector<bench_request> &List) {
  choice_run Run(Workload, "perfect knowledge");
  for (const bench_cell &Cell : Workload.Cells) {
    std::vector<const bench_request *> CellRequests;
    for (const bench_request &Request : List)
      if (Request.Cell == &Cell)
        CellRequests.push_back(&Request);
    auto Pick = [&](const bench_request &Request, double Price) {
      size_t Best = 0;
      for (size_t V = 1; V < 3; ++V) {
        double Gain = Price * (Request.Quality[V] - Request.Quality[Best]);
        if (Gain > Workload.Versions[V].Cost - Workload.Versions[Best].Cost)
          Best = V;
      }
      return Best;
    };
    double Low = 0;
    double High = 1e4;
    for (int Step = 0; Step < 40; ++Step) {
      double Price = (Low + High) / 2;
      double Sum = 0;
      for (const bench_request *Request : CellRequests)
        Sum += Request->Quality[Pick(*Request, Price)];
      (Sum / double(CellRequests.size()) < Cell.Target ? Low : High) = Price;
    }
    for (const bench_request *Request : CellRequests) {
      size_t V = Pick(*Request, High);
      Run.answered(*Request, Request->Quality[V], Workload.Versions[V].Cost);
    }
  }
  return Run.row();
}

} // namespace

std::vector<choice_row> benchChoice(decision_signature &Signature) {
  std::vector<choice_row> Rows;
  for (const bench_workload &Workload : workloads()) {
    auto List = makeRequests(Workload, 11);
    Rows.push_back(
        runFixed(Workload, List, "cheapest always", [](int) { return 0; }));
    Rows.push_back(
        runFixed(Workload, List, "best always", [](int) { return 2; }));
    Rows.push_back(runFixed(Workload, List, "fixed split",
                            [](int I) { return I % 2 ? 2 : 0; }));
    Rows.push_back(runCascade(Workload, List, 0.8));
    Rows.push_back(runOlivevalve(Workload, List, false, false, 7, Signature));
    Rows.push_back(runOlivevalve(Workload, List, true, false, 7, Signature));
    Rows.push_back(runOlivevalve(Workload, List, true, true, 7, Signature));
    Rows.push_back(runBound(Workload, List));
    // The signature covers three more seeds: with one seed, a change of the
    // first choices went undetected.
    for (uint64_t Seed : {21, 22, 23})
      runOlivevalve(Workload, makeRequests(Workload, Seed), true, false, Seed,
                    Signature);
  }
  return Rows;
}

void seed_spread::add(double Value) {
  Count += 1;
  Sum += Value;
  Squares += Value * Value;
}

double seed_spread::deviation() const {
  if (Count < 2)
    return 0;
  double Variance = (Squares - Sum * Sum / Count) / (Count - 1);
  return std::sqrt(std::max(0.0, Variance));
}

std::vector<choice_spread_row> benchChoiceSpread() {
  constexpr uint64_t Seeds = 20;
  constexpr uint64_t FirstSeed = 200;
  std::vector<choice_spread_row> Rows;
  for (const bench_workload &Workload : workloads()) {
    std::map<std::string, choice_spread_row> ByPolicy;
    for (uint64_t Seed = FirstSeed; Seed < FirstSeed + Seeds; ++Seed) {
      auto List = makeRequests(Workload, Seed);
      decision_signature None;
      choice_row Bound = runBound(Workload, List);
      auto Add = [&](const choice_row &Row) {
        choice_spread_row &Out = ByPolicy[Row.Policy];
        Out.Workload = Row.Workload;
        Out.Policy = Row.Policy;
        Out.Cost.add(Row.CostPerThousand);
        Out.CostOverBound.add(Row.CostPerThousand / Bound.CostPerThousand);
        Out.WorstShortfall.add(Row.WorstShortfall);
        Out.CellsMet.add(Row.CellsMet);
      };
      Add(runFixed(Workload, List, "best always", [](int) { return 2; }));
      Add(runCascade(Workload, List, 0.8));
      Add(runOlivevalve(Workload, List, true, false, Seed, None));
      Add(Bound);
    }
    for (auto &[Policy, Row] : ByPolicy)
      Rows.push_back(Row);
  }
  return Rows;
}

} // namespace olivevalve
