//===- fair_share.h - Max-min fair parts of a service's room ----*- C++ -*-===//
//
// Divides the room of a service among the client accounts that compete for it,
// and decides how much of an account's demand is refused. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_SHARES_FAIR_SHARE_H
#define OLIVEVALVE_SHARES_FAIR_SHARE_H

#include <vector>

namespace olivevalve {

/// What one client account asks of a service.
struct account_demand {
  double Demand = 0; ///< Upstream seconds per second.
  double Weight = 1; ///< Relative part of the room, over 0.
};

/// The max-min fair level in upstream seconds per second and unit of weight: an
/// account may have its demand, but no more than the level times its weight.
/// Parts that accounts leave unused go to the others. Infinite if \p Room, in
/// upstream seconds per second, is enough for all.
double maxMinLevel(std::vector<account_demand> Accounts, double Room);

/// Below this pressure nothing is refused.
constexpr double MinRefusedPressure = 0.87;

/// The probability with which a request of an account is refused, 0 to 1.
/// \p Part of the account's demand that is within its share, 0 to 1.
/// \p Pressure: work at the upstreams relative to what they can have in
/// progress; 1: they are full.
double shareRefusalProbability(double Part, double Pressure);

/// A rate over the last half second or so; old values are discounted
/// exponentially.
class decaying_rate {
public:
  void add(double Amount, double Now);
  double perSecond(double Now) const;

private:
  double Value = 0; ///< Per second, as of Last.
  double Last = 0;  ///< Time of the last add, steady-clock seconds.
};

} // namespace olivevalve

#endif // OLIVEVALVE_SHARES_FAIR_SHARE_H
