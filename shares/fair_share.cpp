//===- fair_share.cpp - Max-min fair parts of a service's room ------------===//

#include "shares/fair_share.h"
#include <algorithm>
#include <cmath>
#include <limits>

namespace olivevalve {

namespace {

// Up to MinRefusedPressure a request finds a free slot. From the second
// pressure on accounts get their parts, and from the last one on those over
// their parts get nothing more: what they were sent at first may still be in
// progress. The ranges absorb the age of load reports.
constexpr double FullPressure = 0.97;
constexpr double MaxPressure = 1.07;
// An account that asks for less than twice its part may be over it by chance,
// as few requests give an uneven rate.
constexpr double CertainExcess = 0.5;
// A flood has to be seen, and its end too, within a second.
constexpr double RateSeconds = 0.8;

double fractionOf(double Value, double Min, double Max) {
  return std::clamp((Value - Min) / (Max - Min), 0.0, 1.0);
}

} // namespace

double maxMinLevel(std::vector<account_demand> Accounts, double Room) {
  std::sort(Accounts.begin(), Accounts.end(),
            [](const account_demand &A, const account_demand &B) {
              return A.Demand * B.Weight < B.Demand * A.Weight;
            });
  double WeightLeft = 0;
  for (const account_demand &Each : Accounts)
    WeightLeft += Each.Weight;
  double RoomLeft = std::max(0.0, Room);
  for (const account_demand &Each : Accounts) {
    double Level = RoomLeft / WeightLeft;
    if (Each.Demand > Level * Each.Weight)
      return Level;
    RoomLeft -= Each.Demand;
    WeightLeft -= Each.Weight;
  }
  return std::numeric_limits<double>::infinity();
}

double shareRefusalProbability(double Part, double Pressure) {
  if (Part >= 1)
    return 0;
  double Excess = 1 - std::max(0.0, Part);
  double Certain = std::min(1.0, Excess / CertainExcess);
  return Excess * fractionOf(Pressure, MinRefusedPressure, FullPressure) +
         (1 - Excess) * Certain *
             fractionOf(Pressure, FullPressure, MaxPressure);
}

void decaying_rate::add(double Amount, double Now) {
  Value = perSecond(Now) + Amount / RateSeconds;
  Last = Now;
}

double decaying_rate::perSecond(double Now) const {
  return Value * std::exp((Last - std::max(Now, Last)) / RateSeconds);
}

} // namespace olivevalve
