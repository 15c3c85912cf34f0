//===- replica_choice.cpp - Which upstream runs it ------------------------===//

#include "policy/replica_choice.h"
#include <algorithm>
#include <cmath>

namespace olivevalve {

namespace {

// Failures in a row that open the breaker, and its pauses.
constexpr uint32_t FailuresToOpen = 3;
constexpr double FirstPause = 0.5;
constexpr double LongestPause = 10;
// News of others' load loses its worth with this time constant, seconds.
constexpr double NewsLife = 2.0;
// A queued request waits for a slot: it weighs more than a running one.
constexpr double QueuedWeight = 2.0;
// Load per slot that another data hall's trip is worth.
constexpr double OtherHallPenalty = 0.25;
// Load per slot that a warm prompt prefix is worth.
constexpr double PrefixBonus = 0.3;
// Replicas compared: enough to find a free one, few enough that entries with
// the same stale news do not all run to the same.
constexpr size_t Compared = 3;

// Load is news when it has moved by this part of the slots. Measured with
// `bench`, see docs/decisions/0007.
constexpr uint32_t NewsPart = 2;

uint32_t distance(uint32_t A, uint32_t B) { return A > B ? A - B : B - A; }

} // namespace

bool isNews(told_load Told, told_load Now, uint32_t Slots) {
  uint32_t Step = std::max(1U, Slots / NewsPart);
  return distance(Told.Running, Now.Running) >= Step ||
         distance(Told.Queued, Now.Queued) >= Step ||
         (Told.Queued == 0) != (Now.Queued == 0);
}

void circuit_breaker::succeeded() {
  Failures = 0;
  OpenUntil = 0;
}

void circuit_breaker::failed(double Now) {
  ++Failures;
  if (Failures < FailuresToOpen)
    return;
  double Doublings = std::min(double(Failures - FailuresToOpen), 6.0);
  OpenUntil = Now + std::min(FirstPause * std::exp2(Doublings), LongestPause);
}

// Moving on pays only towards a free slot: where all are busy it would cost
// warm prefixes and messages for nothing.
bool seemsFree(const replica_news &News) {
  double Trust = std::exp(-News.Age / NewsLife);
  double Others = std::max(0.0, News.ReportedRunning - News.OwnAtReport);
  return News.ReportedQueued * Trust < 0.5 &&
         News.OwnInFlight + Trust * Others + 1 <= News.Slots;
}

double expectedLoad(const replica_news &News) {
  double Trust = std::exp(-News.Age / NewsLife);
  double Others = std::max(0.0, News.ReportedRunning - News.OwnAtReport);
  double Work = News.OwnInFlight + Trust * Others +
                Trust * QueuedWeight * News.ReportedQueued;
  double Load = Work / std::max(News.Slots, 1.0);
  return News.SameHall ? Load : Load + OtherHallPenalty;
}

// Compares the replica that the prompt prefix prefers with a few at random.
std::optional<size_t> chooseReplica(const std::vector<replica_news> &Replicas,
                                    std::mt19937_64 &Random) {
  if (Replicas.empty())
    return std::nullopt;
  size_t Preferred = 0;
  for (size_t I = 1; I < Replicas.size(); ++I)
    if (Replicas[I].PrefixScore > Replicas[Preferred].PrefixScore)
      Preferred = I;
  std::uniform_int_distribution<size_t> Any(0, Replicas.size() - 1);
  size_t Best = Preferred;
  double BestLoad = expectedLoad(Replicas[Preferred]) - PrefixBonus;
  for (size_t Tries = 0; Tries < Compared; ++Tries) {
    size_t Other = Any(Random);
    double Load = expectedLoad(Replicas[Other]);
    if (Load < BestLoad) {
      Best = Other;
      BestLoad = Load;
    }
  }
  return Best;
}

} // namespace olivevalve
