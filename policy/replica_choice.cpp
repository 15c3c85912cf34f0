//===- replica_choice.cpp - Which upstream runs a request -----------------===//

#include "policy/replica_choice.h"
#include <algorithm>
#include <cmath>

namespace olivevalve {

namespace {

// The number of consecutive failures that opens the breaker, and the bounds of
// its pauses.
constexpr uint32_t FailuresToOpen = 3;
constexpr double MinPauseSeconds = 0.5;
constexpr double MaxPauseSeconds = 10;
// Time constant of the exponential decay of a report's weight.
constexpr double ReportDecaySeconds = 2.0;
// Weight of a queued request relative to a running one: it also has to wait for
// a slot.
constexpr double QueuedWeight = 2.0;
// Added to the load per slot of an upstream in another data hall.
constexpr double OtherHallPenalty = 0.25;
// Subtracted from the load per slot of the upstream that is preferred for the
// prompt prefix and may have it in its cache.
constexpr double PrefixBonus = 0.3;
// The number of upstreams drawn for comparison: enough to find a free one, but
// few enough that entries with the same old reports do not all choose the same
// upstream.
constexpr size_t SampleSize = 3;

// A load change of 1 / ReportDivisor of the slots is reported. See
// docs/decisions/0007.
constexpr uint32_t ReportDivisor = 2;

uint32_t distance(uint32_t A, uint32_t B) { return A > B ? A - B : B - A; }

} // namespace

bool isReportDue(sidecar_load Reported, sidecar_load Now, uint32_t Slots) {
  uint32_t Step = std::max(1U, Slots / ReportDivisor);
  return distance(Reported.Running, Now.Running) >= Step ||
         distance(Reported.Queued, Now.Queued) >= Step ||
         (Reported.Queued == 0) != (Now.Queued == 0);
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
  OpenUntil =
      Now + std::min(MinPauseSeconds * std::exp2(Doublings), MaxPauseSeconds);
}

// Used to decide whether to move a queued request, which pays off only if the
// other upstream has a free slot. If all are busy, moving costs messages and
// loses the cached prefix for nothing.
bool hasFreeSlot(const replica_state &State) {
  double ReportWeight = std::exp(-State.Age / ReportDecaySeconds);
  double Others = std::max(0.0, State.ReportedRunning - State.OwnAtReport);
  return State.ReportedQueued * ReportWeight < 0.5 &&
         State.OwnInFlight + ReportWeight * Others + 1 <= State.Slots;
}

double expectedLoad(const replica_state &State) {
  double ReportWeight = std::exp(-State.Age / ReportDecaySeconds);
  double Others = std::max(0.0, State.ReportedRunning - State.OwnAtReport);
  double Work = State.OwnInFlight + ReportWeight * Others +
                ReportWeight * QueuedWeight * State.ReportedQueued;
  double Load = Work / std::max(State.Slots, 1.0);
  return State.SameHall ? Load : Load + OtherHallPenalty;
}

// Compares the upstream that is preferred for the prompt prefix with a few
// drawn at random.
std::optional<size_t> chooseReplica(const std::vector<replica_state> &Replicas,
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
  for (size_t Sample = 0; Sample < SampleSize; ++Sample) {
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
