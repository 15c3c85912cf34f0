//===- warmup.cpp - Request rate to a cold upstream -----------------------===//

#include "policy/warmup.h"
#include <algorithm>
#include <cmath>

namespace olivevalve {

namespace {

// The part of the bound that gateways with the same list of gateways use
// together. The other part is for gateways that still have another list.
constexpr double PlannedPart = 0.5;
// Requests are spaced out further by this factor: when a request is delayed by
// the setup of a new connection, the next one arrives closer behind it.
constexpr double GapMargin = 1.1;

size_t plannedRequests(double RequestsPerSecond, cold_bounds Bounds) {
  double Bound = RequestsPerSecond * Bounds.Ratio + Bounds.Slack;
  double Planned = std::min(RequestsPerSecond, PlannedPart * Bound);
  if (!std::isfinite(Planned) || Bound < 1)
    return 0;
  return size_t(std::max(1.0, std::floor(Planned)));
}

} // namespace

double warmupRate(double RequestsPerSecond, cold_bounds Bounds,
                  warmup_group Group) {
  if (Group.Gateways == 0)
    return 0;
  size_t Planned = plannedRequests(RequestsPerSecond, Bounds);
  size_t PerGateway = Planned / Group.Gateways;
  bool GetsOneMore = Group.Rank < Planned % Group.Gateways;
  return double(PerGateway + GetsOneMore);
}

void warmup_pacer::recordRequest(double Now, double Rate) {
  NextAt = Now + GapMargin / Rate;
}

} // namespace olivevalve
