//===- limits.cpp - Rates, concurrency and retries ------------------------===//

#include "policy/limits.h"
#include <algorithm>
#include <cmath>

namespace olivevalve {

namespace {

// A bucket holds what comes in this many seconds, and one token at least.
constexpr double BurstSeconds = 2.0;
// Time constant of the rate meter, seconds.
constexpr double MeterSeconds = 5.0;

} // namespace

bool rate_limit::take(double Rate, double Now) {
  double Size = std::max(1.0, Rate * BurstSeconds);
  if (Tokens < 0)
    Tokens = Size;
  else
    Tokens = std::min(Size, Tokens + Rate * (Now - Last));
  Last = Now;
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

void retry_budget::requestSeen() {
  Tokens = std::min(Bounds.Saved, Tokens + Bounds.Ratio);
}

bool retry_budget::take() {
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

void rate_meter::count(double Now) {
  Value = Value * std::exp((Last - Now) / MeterSeconds) + 1 / MeterSeconds;
  Last = Now;
}

double rate_meter::perSecond(double Now) const {
  return Value * std::exp((Last - Now) / MeterSeconds);
}

} // namespace olivevalve
