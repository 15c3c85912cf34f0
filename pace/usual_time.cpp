//===- usual_time.cpp - How long work of one kind usually takes -----------===//

#include "pace/usual_time.h"
#include <algorithm>
#include <cmath>

namespace olivevalve {

namespace {

// A single time that is off by more than a factor of some 4 comes from a queue
// or a pause, not from the upstream's speed.
constexpr double MaxResidual = 1.4;
// Assumed for the first observations: most times are within a factor of 2.
constexpr double InitialVariance = 0.5;
constexpr double InitialWeight = 3;
// However regular the times were, those of an upstream that turns slow have to
// outweigh them within the time in which observations are forgotten.
constexpr double MinVariance = 0.1;

} // namespace

void usual_time::record(double LogTime) {
  ++Observations;
  if (Observations == 1) {
    Mean = LogTime;
    Variance = InitialVariance;
    return;
  }
  double Difference = residual(LogTime);
  double Weight = Difference > 0 ? LongerWeight : 1;
  Mean += std::max(MinStep, 1.0 / Observations) * Weight * Difference;
  Variance += std::max(MinStep, 1 / (Observations + InitialWeight)) *
              (Difference * Difference - Variance);
}

double usual_time::precision() const {
  return 1 / std::max(MinVariance, Variance);
}

double usual_time::residual(double LogTime) const {
  return std::clamp(LogTime - Mean, -MaxResidual, MaxResidual);
}

} // namespace olivevalve
