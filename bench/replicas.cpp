//===- replicas.cpp - Queueing times with outdated load reports -----------===//

#include "bench/pool_run.h"
#include <array>
#include <numeric>

namespace olivevalve {

namespace {

const bench_pool Pools[] = {
    {.Name = "20 replicas at 70%", .Load = 0.7},
    {.Name = "20 replicas at 90%", .Load = 0.9},
    {.Name = "20 replicas at 70%, two slow", .Load = 0.7, .SlowShare = 0.1},
    {.Name = "10 replicas at 85%", .Replicas = 10, .Load = 0.85},
};

// Shares of capacity at which the two classes are measured.
const double Loads[] = {0.6, 0.8, 0.95, 1.2};
constexpr uint64_t Seeds = 20;
constexpr uint64_t FirstSeed = 100;

size_t pickRandom(const pick_input &Input) {
  return Input.Random() % Input.Replicas.size();
}

size_t pickLeastReported(const pick_input &Input) {
  size_t Best = 0;
  auto Load = [&](size_t I) {
    const auto &View = Input.Replicas[I].Views[Input.Entry];
    return View.Running + View.Queued;
  };
  for (size_t I = 1; I < Input.Replicas.size(); ++I)
    if (Load(I) < Load(Best))
      Best = I;
  return Best;
}

size_t pickTwo(const pick_input &Input) {
  size_t A = pickRandom(Input);
  size_t B = pickRandom(Input);
  auto Load = [&](size_t I) {
    const auto &View = Input.Replicas[I].Views[Input.Entry];
    return View.Running + View.Queued;
  };
  return Load(A) <= Load(B) ? A : B;
}

size_t pickOlivevalve(const pick_input &Input) {
  return *chooseReplica(replicaStates(Input), Input.Random);
}

// Always picks the replica with the highest hash for the prefix, whatever its
// load.
size_t pickPrefix(const pick_input &Input) {
  auto States = replicaStates(Input);
  size_t Best = 0;
  for (size_t I = 1; I < States.size(); ++I)
    if (States[I].PrefixScore > States[Best].PrefixScore)
      Best = I;
  return Best;
}

// Picks by the actual current load: the bound for choices by load alone.
size_t pickExact(const pick_input &Input) {
  size_t Best = 0;
  auto Load = [&](size_t I) {
    const bench_replica &R = Input.Replicas[I];
    return double(R.Running) + double(R.Waiting.size());
  };
  for (size_t I = 1; I < Input.Replicas.size(); ++I)
    if (Load(I) < Load(Best))
      Best = I;
  return Best;
}

replica_row measurePool(bench_pool Pool, const std::string &Policy,
                        const picker &Pick, decision_signature *Signature) {
  // Only the decision code of the daemons, the one with a signature, moves
  // queued requests.
  Pool.Moves = Signature ? MaxMoves : 0;
  pool_run Run(Pool, 5);
  Run.run(Pick, Signature);
  std::vector<double> &Waits = Run.Others.Waits;
  double Sum = std::accumulate(Waits.begin(), Waits.end(), 0.0);
  return {.Scenario = Pool.Name,
          .Policy = Policy,
          .MeanWaitMs = 1000 * Sum / double(Waits.size()),
          .P95WaitMs = Run.Others.quantileMs(0.95),
          .P99WaitMs = Run.Others.quantileMs(0.99),
          .PrefixHits = double(Run.WarmHits) / Pool.Requests,
          .ReportShare = Run.Reports / Run.LoadSamples};
}

wait_row measureWaits(double Load, const std::string &Policy,
                      const picker &Pick, double UrgentShare, int Moves) {
  wait_row Row{.Load = Load, .Policy = Policy};
  for (uint64_t Seed = 0; Seed < Seeds; ++Seed) {
    bench_pool Pool{.Load = Load,
                    .UrgentShare = UrgentShare,
                    .MaxWaitSeconds = 10,
                    .Requests = 15000,
                    .Moves = Moves};
    pool_run Run(Pool, FirstSeed + Seed);
    Run.run(Pick, nullptr);
    auto Add = [](class_waits &Class, wait_quantiles &Out) {
      Out.P50.add(Class.quantileMs(0.5));
      Out.P95.add(Class.quantileMs(0.95));
      Out.P99.add(Class.quantileMs(0.99));
      double All = double(Class.Waits.size()) + Class.Shed;
      Out.ShedShare.add(All > 0 ? Class.Shed / All : 0);
    };
    Add(Run.Urgent, Row.Urgent);
    Add(Run.Others, Row.Others);
  }
  return Row;
}

} // namespace

std::vector<replica_row> benchReplicas(decision_signature &Signature) {
  std::vector<replica_row> Rows;
  for (const bench_pool &Pool : Pools) {
    std::array<size_t, BenchEntries> NextReplica{};
    for (size_t I = 0; I < BenchEntries; ++I)
      NextReplica[I] = I * 7;
    auto RoundRobin = [&NextReplica](const pick_input &Input) {
      return NextReplica[Input.Entry]++ % Input.Replicas.size();
    };
    auto Add = [&](const std::string &Policy, const picker &Pick,
                   decision_signature *SignatureOrNull) {
      Rows.push_back(measurePool(Pool, Policy, Pick, SignatureOrNull));
    };
    Add("random", pickRandom, nullptr);
    Add("round robin", RoundRobin, nullptr);
    Add("least reported", pickLeastReported, nullptr);
    Add("power of two", pickTwo, nullptr);
    Add("prefix always", pickPrefix, nullptr);
    Add("exact current load", pickExact, nullptr);
    Add("olivevalve", pickOlivevalve, &Signature);
  }
  return Rows;
}

std::vector<wait_row> benchWaits() {
  constexpr double UrgentShare = 0.3;
  std::vector<wait_row> Rows;
  for (double Load : Loads) {
    auto Add = [&](const std::string &Policy, const picker &Pick, double Urgent,
                   int Moves) {
      Rows.push_back(measureWaits(Load, Policy, Pick, Urgent, Moves));
    };
    Add("power of two", pickTwo, UrgentShare, 0);
    Add("exact current load", pickExact, UrgentShare, 0);
    Add("ours, one class", pickOlivevalve, 0, MaxMoves);
    Add("ours, never moved", pickOlivevalve, UrgentShare, 0);
    Add("olivevalve", pickOlivevalve, UrgentShare, MaxMoves);
  }
  return Rows;
}

} // namespace olivevalve
