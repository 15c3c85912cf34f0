//===- slowdown.cpp - How long work takes at an upstream ------------------===//

#include "policy/slowdown.h"
#include <algorithm>
#include <cmath>

namespace olivevalve {

namespace {

// Values of the same upstream agree for seconds, apart from a part that lasts
// some 0.3 s: the mean needs several of them.
constexpr double MemorySeconds = 10;
// Weight of the usual speed in the mean, in recorded values.
constexpr double UsualWeight = 1;
// Values beyond these are not plausible, and would keep all requests away from
// an upstream, or send all there.
constexpr double MinSlowdown = 0.2;
constexpr double MaxSlowdown = 5;

} // namespace

void slowdown_estimate::record(double Slowdown, double Now) {
  double Kept = std::exp(-std::max(0.0, Now - RecordedAt) / MemorySeconds);
  double Bounded = std::clamp(Slowdown, MinSlowdown, MaxSlowdown);
  Latest = Bounded;
  Sum = Kept * Sum + Bounded;
  Weight = Kept * Weight + 1;
  RecordedAt = Now;
}

double slowdown_estimate::value() const {
  return (Sum + UsualWeight) / (Weight + UsualWeight);
}

} // namespace olivevalve
