//===- admission.cpp - Whom a full service takes --------------------------===//

#include "policy/admission.h"
#include <algorithm>

namespace olivevalve {

namespace {

// Of the last answer, in the mean: some 50 answers count, two seconds' worth at
// a gateway of a busy fleet.
constexpr double SlotTimeStep = 0.02;
// Parts of the target that a request may wait for a slot: below the first none
// of the least urgent is refused, above the second all are. Well under the
// whole target, as what is known of loads is late.
constexpr double FirstRefused = 0.1;
constexpr double AllRefused = 0.4;
// Each rank of urgency may wait longer by this part of the target: little
// beside the span above, so that nobody starves.
constexpr double PartByRank = 0.05;
constexpr uint32_t LeastUrgent = 2;
// Of the upstreams, those that are less full than the one that stands for all.
constexpr double LowPart = 0.25;
// Callers heed advice up to so much of the time that they have.
constexpr double HeededPart = 1.0 / 3;
constexpr double SpreadFrom = 0.5;

} // namespace

void service_pace::asked(double TargetSeconds) {
  if (ShortestTarget == 0 || TargetSeconds < ShortestTarget)
    ShortestTarget = TargetSeconds;
}

void service_pace::ended(double Seconds) {
  SlotSeconds += (SlotSeconds == 0 ? 1 : SlotTimeStep) *
                 (std::max(0.0, Seconds) - SlotSeconds);
}

// Not the least of all: what seems emptiest is what is known worst, and all
// gateways send there. Nor the mean: long queues at some say nothing of the
// rest.
double waitForSlot(const std::vector<upstream_view> &Upstreams,
                   double SlotSeconds) {
  std::vector<double> Waits;
  Waits.reserve(Upstreams.size());
  for (const upstream_view &Each : Upstreams) {
    double Slots = std::max(1.0, Each.Slots);
    double Before = std::max(0.0, Each.Load + 1 - Slots);
    if (!Each.Suspect)
      Waits.push_back(Before / Slots * SlotSeconds);
  }
  if (Waits.empty())
    return 0;
  auto Low = Waits.begin() + ptrdiff_t(double(Waits.size()) * LowPart);
  std::nth_element(Waits.begin(), Low, Waits.end());
  return *Low;
}

// By chance and not by a bound: many gateways see the same wait a moment late,
// and would all refuse and all take by turns.
double refusalChance(double WaitSeconds, double TargetSeconds,
                     uint32_t Priority) {
  if (TargetSeconds <= 0)
    return 0;
  double Rank = PartByRank * (LeastUrgent - std::min(Priority, LeastUrgent));
  double Part = WaitSeconds / TargetSeconds - Rank;
  return std::clamp((Part - FirstRefused) / (AllRefused - FirstRefused), 0.0,
                    1.0);
}

// Late, as a flood outlasts what waits in it and most callers come back once
// only; spread, so that they do not come back together.
double comeBackAfter(double LeftSeconds, std::mt19937_64 &Random) {
  double Last = std::max(0.0, LeftSeconds) * HeededPart;
  double First = Last * SpreadFrom;
  return std::uniform_real_distribution<double>(First, Last)(Random);
}

} // namespace olivevalve
