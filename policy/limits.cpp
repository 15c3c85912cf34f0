//===- limits.cpp - Rate limits and retry budgets -------------------------===//

#include "policy/limits.h"
#include <algorithm>
#include <cmath>

namespace olivevalve {

namespace {

// The bucket holds the tokens of this many seconds, and at least one token.
constexpr double BurstSeconds = 2.0;
// Time constant of the rate meter.
constexpr double MeterDecaySeconds = 5.0;

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

void retry_budget::recordRequest() {
  Tokens = std::min(Bounds.MaxTokens, Tokens + Bounds.Ratio);
}

bool retry_budget::take() {
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

void rate_meter::count(double Now) {
  Value = Value * std::exp((Last - Now) / MeterDecaySeconds) +
          1 / MeterDecaySeconds;
  Last = Now;
}

double rate_meter::perSecond(double Now) const {
  return Value * std::exp((Last - Now) / MeterDecaySeconds);
}

} // namespace olivevalve
