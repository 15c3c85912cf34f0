//===- speed.cpp - Processing time of a decision --------------------------===//

#include "bench/bench.h"
#include "policy/replica_choice.h"
#include "policy/version_choice.h"
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <new>

namespace {
std::atomic<uint64_t> Allocations = 0;
} // namespace

// Counts every heap allocation of the program. Not inlined, because the
// compiler would otherwise see memory of operator new passed to free() and warn
// of a mismatch.
[[gnu::noinline]] void *operator new(size_t Size) {
  ++Allocations;
  if (void *Memory = std::malloc(Size))
    return Memory;
  throw std::bad_alloc();
}
// std::stable_sort allocates with this form.
[[gnu::noinline]] void *operator new(size_t Size,
                                     const std::nothrow_t &) noexcept {
  ++Allocations;
  return std::malloc(Size);
}
[[gnu::noinline]] void operator delete(void *Memory,
                                       const std::nothrow_t &) noexcept {
  std::free(Memory);
}
[[gnu::noinline]] void operator delete(void *Memory) noexcept {
  std::free(Memory);
}
[[gnu::noinline]] void operator delete(void *Memory, size_t) noexcept {
  std::free(Memory);
}

namespace olivevalve {

namespace {

constexpr int Versions = 13;
constexpr size_t Replicas = 86;
constexpr int Templates = 6;
constexpr int Accounts = 10;
constexpr int Decisions = 20000; ///< Measured for each row.

estimates ratedEstimates() {
  estimates Estimates;
  std::mt19937_64 Random(3);
  std::uniform_real_distribution<double> Unit(0, 1);
  for (int T = 0; T < Templates; ++T)
    for (int A = 0; A < Accounts; ++A)
      for (int V = 0; V < Versions; ++V)
        for (int I = 0; I < 20; ++I)
          Estimates.add({"t" + std::to_string(T),
                         "a" + std::to_string(A),
                         {{"m", std::to_string(V)}, {}}},
                        0.5 + 0.03 * V + 0.1 * Unit(Random), 1 + V);
  return Estimates;
}

speed_row measure(const std::string &Name,
                  const std::function<void()> &Decide) {
  for (int I = 0; I < 100; ++I)
    Decide();
  uint64_t Before = Allocations;
  auto Start = std::chrono::steady_clock::now();
  for (int I = 0; I < Decisions; ++I)
    Decide();
  std::chrono::duration<double, std::nano> Took =
      std::chrono::steady_clock::now() - Start;
  return {Name, Took.count() / Decisions,
          double(Allocations - Before) / Decisions};
}

} // namespace

std::vector<speed_row> benchSpeed() {
  estimates Estimates = ratedEstimates();
  std::mt19937_64 Random(9);
  choice_input Input{.Template = "t1",
                     .Account = "a1",
                     .QualityTarget = 0.8,
                     .Policy = cheapest_policy{}};
  for (int V = 0; V < Versions; ++V)
    Input.Candidates.push_back(
        {.Name = {"m", std::to_string(V)}, .PriorCost = 1.0 + V});
  std::vector<replica_state> States(Replicas);
  for (size_t I = 0; I < Replicas; ++I)
    States[I] = {.OwnInFlight = double(I % 3),
                 .ReportedRunning = double(I % 17),
                 .Age = 0.5,
                 .Slots = 32,
                 .PrefixScore = checksum(std::to_string(I))};
  std::vector<speed_row> Rows;
  choice_cache Cache;
  auto Choose = [&] { chooseArm(Input, Estimates, Cache, Random); };
  // Changes the estimates first, as an update from control does: what was
  // derived from the old ones cannot be reused.
  auto ChooseAfterUpdate = [&] {
    Estimates.set({"", "", {{"m", "0"}, {}}}, {});
    Choose();
  };
  Rows.push_back(measure("version of 13", Choose));
  Rows.push_back(measure("version of 13, new estimates", ChooseAfterUpdate));
  Input.MayCascade = true;
  Rows.push_back(measure("version or cascade", Choose));
  Rows.push_back(
      measure("version or cascade, new estimates", ChooseAfterUpdate));
  Rows.push_back(
      measure("replica of 86", [&] { chooseReplica(States, Random); }));
  return Rows;
}

} // namespace olivevalve
